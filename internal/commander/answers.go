package commander

import (
	"net/http"
	"os"
	"time"

	"github.com/galenahitch/galenahitch/internal/server"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/recorder"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

type answersFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"the answers, as YAML"`
	} `positional-args:"yes" required:"yes"`
}

func (f answersFile) read() (string, error) {
	source, err := os.ReadFile(f.Args.File)
	if err != nil {
		return "", fail(ExitUsage, "%v", err)
	}
	return string(source), nil
}

type checkCommand struct {
	command
	answersFile
}

// Execute names the mistakes in a file of answers.
func (c *checkCommand) Execute([]string) error {
	source, err := c.read()
	if err != nil {
		return err
	}
	_, problems := planner.Check([]byte(source))
	if len(problems) == 0 {
		c.printf("%s: no mistakes", c.Args.File)
		return nil
	}
	return c.printProblems(c.Args.File, problems)
}

func (c *command) printProblems(file string, problems []*planner.Problem) error {
	for _, p := range problems {
		c.printf("%s:%d: %s\n    remedy: %s", file, p.Line, p.Message, p.Remedy)
	}
	return fail(ExitProblems, "%d mistakes in the answers", len(problems))
}

type planCommand struct {
	adminCommand
	answersFile
}

// Execute shows what answers would change.
func (c *planCommand) Execute([]string) error {
	source, err := c.read()
	if err != nil {
		return err
	}
	plan, err := callAdmin[server.Plan](&c.adminCommand, http.MethodPost, "/answers/plan", server.Submission{Answers: source})
	if err != nil {
		return err
	}
	if len(plan.Problems) > 0 {
		return c.printProblems(c.Args.File, plan.Problems)
	}
	return printValue(&c.adminCommand, plan, func(p server.Plan) {
		c.printf("against generation %d: %d changes", p.Generation, len(p.Changes))
		for _, change := range p.Changes {
			c.printf("%s", change)
		}
	})
}

type submitCommand struct {
	adminCommand
	answersFile
	Base uint64        `long:"base" description:"the generation that the plan was made against; 0 takes the newest"`
	Wait time.Duration `long:"wait" default:"0s" description:"how long to wait until it is in force everywhere"`
}

// Execute puts answers in force.
func (c *submitCommand) Execute([]string) error {
	source, err := c.read()
	if err != nil {
		return err
	}
	type answer struct {
		server.Accepted
		Problems []*planner.Problem `json:"problems,omitempty"`
	}
	got, err := callAdmin[answer](&c.adminCommand, http.MethodPost, "/answers/submit", server.Submission{Answers: source, Base: c.Base})
	if err != nil {
		return err
	}
	if len(got.Problems) > 0 {
		return c.printProblems(c.Args.File, got.Problems)
	}
	if err := printValue(&c.adminCommand, got.Accepted, func(a server.Accepted) { c.printf("accepted as generation %d", a.Generation) }); err != nil {
		return err
	}
	if c.Wait <= 0 {
		return nil
	}
	return waitForGeneration(&c.adminCommand, got.Generation, c.Wait)
}

type showCommand struct{ adminCommand }

// Execute shows the configuration in force.
func (c *showCommand) Execute([]string) error {
	cfg, err := callAdmin[planner.Config](&c.adminCommand, http.MethodGet, "/config", struct{}{})
	if err != nil {
		return err
	}
	return printValue(&c.adminCommand, cfg, func(cfg planner.Config) {
		c.printf("generation %d of %s, by %s", cfg.Generation, cfg.Firm, cfg.SubmittedBy)
		for _, o := range cfg.Organisations {
			c.printf("organisation %s weight=%d", o.Name, o.Weight)
		}
		for _, d := range cfg.Deployments {
			c.printf("deployment %s kind=%s version=%s ladder=%v", d.Name, d.Kind, d.Version, d.Move.StepShares)
		}
		for _, r := range cfg.Routes {
			c.printf("route %s deployment=%s idempotent=%t answer_within=%s finish_within=%s", r.Name, r.Deployment, r.Idempotent, r.AnswerWithin(), r.FinishWithin())
		}
	})
}

type historyCommand struct{ adminCommand }

// Execute lists the accepted configurations.
func (c *historyCommand) Execute([]string) error {
	return c.printRecords("/config/history")
}

type auditCommand struct{ adminCommand }

// Execute prints the audit trail.
func (c *auditCommand) Execute([]string) error { return c.printRecords("/audit") }

func (c *adminCommand) printRecords(path string) error {
	records, err := callAdmin[[]recorder.Record](c, http.MethodGet, path, struct{}{})
	if err != nil {
		return err
	}
	return printValue(c, records, func(records []recorder.Record) {
		for _, r := range records {
			at := time.UnixMilli(r.AtMS).UTC().Format(time.RFC3339)
			c.printf("%s actor=%s event=%s subject=%q detail=%q generation=%d", at, r.Actor, r.Event, r.Subject, r.Detail, r.Generation)
		}
	})
}

type waitCommand struct {
	adminCommand
	Generation uint64        `long:"generation" required:"yes" description:"the generation to wait for"`
	Timeout    time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
}

// Execute waits until a configuration is in force everywhere.
func (c *waitCommand) Execute([]string) error {
	return waitForGeneration(&c.adminCommand, c.Generation, c.Timeout)
}

func waitForGeneration(c *adminCommand, generation uint64, limit time.Duration) error {
	var last server.Spread
	err := c.poll(limit, func() (bool, error) {
		spread, err := callAdmin[server.Spread](c, http.MethodGet, "/config/spread?generation="+formatUint(generation), struct{}{})
		last = spread
		return spread.Everywhere, err
	})
	if shown := printValue(c, last, func(s server.Spread) {
		for _, e := range s.Entries {
			c.printf("entry %s generation=%d reach=%s", e.ID, e.Generation, e.Reachability)
		}
		c.printf("generation %d everywhere=%t", s.Generation, s.Everywhere)
	}); shown != nil {
		return shown
	}
	return err
}

type statusCommand struct{ adminCommand }

// Execute shows an entry and its peers.
func (c *statusCommand) Execute([]string) error {
	status, err := callAdmin[server.Status](&c.adminCommand, http.MethodGet, "/status", struct{}{})
	if err != nil {
		return err
	}
	return printValue(&c.adminCommand, status, func(s server.Status) {
		c.printf("entry %s in %s ready=%t generation=%d open_runs=%d %s", s.Self.ID, s.Self.FailureDomain, s.Ready, s.Generation, s.OpenRuns, s.Reason)
		for _, e := range s.Entries {
			c.printf("peer %s in %s reach=%s generation=%d ready=%t leaving=%t", e.ID, e.FailureDomain, e.Reachability, e.Generation, e.Ready, e.Leaving)
		}
		c.printMoves(s.Moves)
		lost := 0
		for _, e := range s.Entries {
			if e.Reachability == tracker.Unreachable {
				lost++
			}
		}
		if lost > 0 {
			c.printf("%d entries are out of reach: they serve with what they last knew", lost)
		}
	})
}
