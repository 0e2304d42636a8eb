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

// answersFile is the positional argument of commands that read answers.
type answersFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"YAML file with the answers to the questionnaire"`
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

// Execute prints the mistakes in a file of answers, each with a remedy.
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

// Execute prints the changes that submitting the answers would make.
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
	Base uint64        `long:"base" description:"generation that the plan was made against, refused if there is a newer one; 0 means the newest"`
	Wait time.Duration `long:"wait" default:"0s" description:"maximum time to wait until all entries use the new configuration; 0 means not to wait"`
}

// Execute submits answers as a new configuration. With --wait it then waits until
// the configuration is in force everywhere.
func (c *submitCommand) Execute([]string) error {
	source, err := c.read()
	if err != nil {
		return err
	}
	type submitResponse struct {
		server.Accepted
		Problems []*planner.Problem `json:"problems,omitempty"`
	}
	response, err := callAdmin[submitResponse](&c.adminCommand, http.MethodPost, "/answers/submit", server.Submission{Answers: source, Base: c.Base})
	if err != nil {
		return err
	}
	if len(response.Problems) > 0 {
		return c.printProblems(c.Args.File, response.Problems)
	}
	if err := printValue(&c.adminCommand, response.Accepted, func(a server.Accepted) { c.printf("accepted as generation %d", a.Generation) }); err != nil {
		return err
	}
	if c.Wait <= 0 {
		return nil
	}
	return waitForGeneration(&c.adminCommand, response.Generation, c.Wait)
}

type showCommand struct{ adminCommand }

// Execute prints the configuration in force.
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

// Execute prints the audit records of the accepted configurations.
func (c *historyCommand) Execute([]string) error {
	return c.printRecords("/config/history")
}

type auditCommand struct{ adminCommand }

// Execute prints the audit trail.
func (c *auditCommand) Execute([]string) error { return c.printRecords("/audit") }

// printRecords requests audit records from the administration API and prints them.
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
	Generation uint64        `long:"generation" required:"yes" description:"generation of the configuration to wait for"`
	Timeout    time.Duration `long:"timeout" default:"30s" description:"maximum time to wait"`
}

// Execute waits until a configuration is in force everywhere.
func (c *waitCommand) Execute([]string) error {
	return waitForGeneration(&c.adminCommand, c.Generation, c.Timeout)
}

// waitForGeneration polls until a configuration is in force everywhere and prints
// the last state, also after a timeout.
func waitForGeneration(c *adminCommand, generation uint64, timeout time.Duration) error {
	var last server.Spread
	err := c.poll(timeout, func() (bool, error) {
		spread, err := callAdmin[server.Spread](c, http.MethodGet, "/config/spread?generation="+formatUint(generation), struct{}{})
		last = spread
		return spread.Everywhere, err
	})
	if printErr := printValue(c, last, func(s server.Spread) {
		for _, e := range s.Entries {
			c.printf("entry %s generation=%d reach=%s", e.ID, e.Generation, e.Reachability)
		}
		c.printf("generation %d everywhere=%t", s.Generation, s.Everywhere)
	}); printErr != nil {
		return printErr
	}
	return err
}

type statusCommand struct{ adminCommand }

// Execute prints the status of an entry, its peers and the moves.
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
		unreachable := 0
		for _, e := range s.Entries {
			if e.Reachability == tracker.Unreachable {
				unreachable++
			}
		}
		if unreachable > 0 {
			c.printf("%d entries are out of reach: they serve with what they last knew", unreachable)
		}
	})
}
