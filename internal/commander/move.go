package commander

import (
	"net/http"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/internal/server"
	"github.com/galenahitch/galenahitch/pkg/mover"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

type deploymentFlag struct {
	Deployment string `long:"deployment" required:"yes" description:"name of the deployment"`
}

type moveStartCommand struct {
	adminCommand
	deploymentFlag
	To     string        `long:"to" required:"yes" description:"version to move to"`
	Within time.Duration `long:"within" description:"time in which all traffic has to move; the default is finish_within of the answers"`
}

// Execute starts a move.
func (c *moveStartCommand) Execute([]string) error {
	m, err := callAdmin[mover.Move](&c.adminCommand, http.MethodPost, "/moves", server.MoveOrder{
		Deployment: c.Deployment, To: c.To, WithinMS: c.Within.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return printValue(&c.adminCommand, m, func(m mover.Move) {
		c.printf("move %s: %s from %s to %s by %s", m.ID, m.Deployment, m.From, m.To, time.UnixMilli(m.DeadlineMS).UTC().Format(time.RFC3339))
	})
}

type moveStatusCommand struct{ adminCommand }

// Execute prints the moves.
func (c *moveStatusCommand) Execute([]string) error {
	list, err := callAdmin[[]server.MoveStatus](&c.adminCommand, http.MethodGet, "/moves", struct{}{})
	if err != nil {
		return err
	}
	return printValue(&c.adminCommand, list, c.printMoves)
}

func (c *command) printMoves(list []server.MoveStatus) {
	for _, m := range list {
		c.printf("move %s %s %s->%s state=%s step=%d share=%.3f outcomes=%d reason=%q", m.ID, m.Deployment, m.From, m.To, m.State, m.Step, m.Share, m.Outcomes, m.Reason)
		if m.LateMS > 0 {
			c.printf("  expected to miss its deadline by %s at the traffic so far", time.Duration(m.LateMS)*time.Millisecond)
		}
	}
}

type moveWatchCommand struct {
	adminCommand
	deploymentFlag
	Timeout time.Duration `long:"timeout" default:"1h" description:"maximum time to wait"`
}

// Execute waits until a move is done or rolled back and prints each of its steps.
func (c *moveWatchCommand) Execute([]string) error {
	lastStep := ""
	rolledBack := false
	err := c.poll(c.Timeout, func() (bool, error) {
		list, err := callAdmin[[]server.MoveStatus](&c.adminCommand, http.MethodGet, "/moves", struct{}{})
		if err != nil {
			return false, err
		}
		for _, m := range list {
			if m.Deployment != c.Deployment {
				continue
			}
			step := string(m.State) + strconv.Itoa(m.Step)
			if step != lastStep {
				lastStep = step
				c.printMoves([]server.MoveStatus{m})
			}
			rolledBack = m.State == mover.RolledBack
			return !m.InProgress(), nil
		}
		return false, nil
	})
	if err == nil && rolledBack {
		return fail(ExitRolledBack, "the move was taken back")
	}
	return err
}

type moveRollBackCommand struct {
	adminCommand
	deploymentFlag
}

// Execute rolls a move back.
func (c *moveRollBackCommand) Execute([]string) error {
	m, err := callAdmin[mover.Move](&c.adminCommand, http.MethodPost, "/moves/back", server.MoveOrder{Deployment: c.Deployment})
	if err != nil {
		return err
	}
	return printValue(&c.adminCommand, m, func(m mover.Move) { c.printf("move %s is taken back; %s serves", m.ID, m.From) })
}

type upstreamsCommand struct{ adminCommand }

// Execute prints the upstreams and their states at an entry.
func (c *upstreamsCommand) Execute([]string) error {
	list, err := callAdmin[[]server.UpstreamStatus](&c.adminCommand, http.MethodGet, "/upstreams", struct{}{})
	if err != nil {
		return err
	}
	return printValue(&c.adminCommand, list, func(list []server.UpstreamStatus) {
		for _, u := range list {
			c.printf("upstream %s deployment=%s version=%s in=%s state=%s in_flight=%d running=%d slots=%d",
				u.ID, u.Deployment, u.Version, u.FailureDomain, u.State, u.InFlight, u.Running, u.Slots)
		}
	})
}
