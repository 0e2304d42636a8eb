package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

const (
	maxHistoryRows     = 100
	maxAuditRows       = 500
	operatorContextKey = "operator"
)

// Submission is a request to plan answers or to put them in force.
type Submission struct {
	Answers string `json:"answers"`
	// Base is the generation that the operator's plan was based on. A submission is
	// refused if Base is not the newest generation; 0 skips the check.
	Base uint64 `json:"base"`
}

// Plan contains the problems of answers, or the changes that the answers would make
// to the configuration in force at this entry. Generation is that configuration's.
type Plan struct {
	Problems   []*planner.Problem `json:"problems"`
	Changes    []planner.Change   `json:"changes"`
	Generation uint64             `json:"generation"`
	Config     *planner.Config    `json:"config,omitempty"`
}

// Accepted is the response to a submission: the new generation.
type Accepted struct {
	Generation uint64 `json:"generation"`
}

// Spread is the response to a query for the generation that each entry has in
// force. Everywhere is true if this entry has a VM list, and it and all entries that
// are not leaving have the queried generation or a newer one.
type Spread struct {
	Generation uint64           `json:"generation"`
	Everywhere bool             `json:"everywhere"`
	Entries    []tracker.Status `json:"entries"`
}

// MoveOrder is a request to start a move of a deployment, or to roll it back.
type MoveOrder struct {
	Deployment string `json:"deployment"`
	To         string `json:"to"`
	WithinMS   int64  `json:"within_ms"`
}

// MoveStatus is one entry's state of a move: the share of requests for the new
// version, the new version's outcomes and the expected overrun of the deadline.
type MoveStatus struct {
	mover.Move
	Share    float64 `json:"share"`
	Outcomes int     `json:"outcomes"`
	LateMS   int64   `json:"late_ms"`
}

// Status is the state of one entry, with its state of the other entries.
type Status struct {
	Self       tracker.Member   `json:"self"`
	Ready      bool             `json:"ready"`
	Reason     string           `json:"reason,omitempty"`
	Generation uint64           `json:"generation"`
	Firm       string           `json:"firm"`
	OpenRuns   int              `json:"open_runs"`
	Entries    []tracker.Status `json:"entries"`
	Moves      []MoveStatus     `json:"moves"`
}

// UpstreamStatus is this entry's state of one upstream.
type UpstreamStatus struct {
	ID            string `json:"id"`
	Deployment    string `json:"deployment"`
	Version       string `json:"version"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	InFlight      int    `json:"in_flight"`
	Running       int    `json:"running"`
	Slots         int    `json:"slots"`
}

// adminHandler returns the HTTP interface for operators and for metrics.
func (s *Server) adminHandler() http.Handler {
	engine := gin.New()
	engine.Use(gin.CustomRecovery(s.recoverPanic))
	engine.GET("/metrics", gin.WrapF(s.serveMetrics))
	admin := engine.Group("/admin/v1", s.operatorOnly)
	admin.POST("/answers/plan", s.adminPlan)
	admin.POST("/answers/submit", s.adminSubmit)
	admin.GET("/config", s.adminConfig)
	admin.GET("/config/history", s.adminHistory)
	admin.GET("/config/spread", s.adminSpread)
	admin.POST("/moves", s.adminMoveStart)
	admin.GET("/moves", s.adminMoves)
	admin.POST("/moves/back", s.adminMoveRollBack)
	admin.GET("/upstreams", s.adminUpstreams)
	admin.GET("/audit", s.adminAudit)
	admin.GET("/status", s.adminStatus)
	engine.NoRoute(func(c *gin.Context) {
		s.writeRefusal(c, judge.Refuse(judge.CodeNotFound, judge.NotRun, "there is nothing at this path"))
	})
	return engine
}

// operatorOnly refuses requests without an operator's token. Callers' tokens are
// refused too.
func (s *Server) operatorOnly(c *gin.Context) {
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	digest := tokenDigest(token)
	index := slices.IndexFunc(s.cfg.Operators, func(o Operator) bool { return o.TokenSHA256 == digest })
	if token == "" || index < 0 {
		s.writeRefusal(c, judge.Refuse(judge.CodeUnauthorised, judge.NotRun, "an operator's bearer token is needed"))
		return
	}
	c.Set(operatorContextKey, s.cfg.Operators[index].Name)
}

// readJSON decodes a JSON body of at most maxBodyBytes.
func readJSON[T any](c *gin.Context) (T, *judge.Refusal) {
	var value T
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &value)
	}
	if err != nil {
		return value, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the body can't be read: "+err.Error())
	}
	return value, nil
}

func (s *Server) plan(answers string) Plan {
	checked, problems := planner.Check([]byte(answers))
	if len(problems) > 0 {
		return Plan{Problems: problems}
	}
	cfg := planner.Plan(checked)
	current := planner.Config{}
	if inForce := s.state.config(); inForce != nil {
		current = *inForce
	}
	return Plan{Changes: planner.Diff(current, cfg), Generation: current.Generation, Config: &cfg}
}

func (s *Server) adminPlan(c *gin.Context) {
	in, refusal := readJSON[Submission](c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	c.JSON(http.StatusOK, s.plan(in.Answers))
}

func (s *Server) adminSubmit(c *gin.Context) {
	in, refusal := readJSON[Submission](c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	plan := s.plan(in.Answers)
	if len(plan.Problems) > 0 {
		c.JSON(http.StatusUnprocessableEntity, plan)
		return
	}
	accepted, refusal := s.submit(c.Request.Context(), c.GetString(operatorContextKey), in, *plan.Config)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	c.JSON(http.StatusOK, accepted)
}

// submit inserts the row of the next generation. The insert commits the change: of
// two operators that submit the same generation one gets a conflict. The row is
// also the audit record of the change.
func (s *Server) submit(ctx context.Context, operator string, in Submission, cfg planner.Config) (Accepted, *judge.Refusal) {
	newest, err := s.newestGeneration(ctx)
	if err != nil {
		return Accepted{}, judge.Refuse(judge.CodeStoreUnreachable, judge.NotRun, "the platform's table can't be reached: "+err.Error()).WithRetryAfter(s.jitter(time.Second))
	}
	if in.Base != 0 && in.Base != newest {
		return Accepted{}, judge.Refuse(judge.CodeConflict, judge.NotRun, "the configuration has changed: generation "+strconv.FormatUint(newest, 10)+" is the newest; plan again")
	}
	cfg.Generation = newest + 1
	cfg.Token = uuid.NewString()
	cfg.SubmittedBy = operator
	cfg.SubmittedMS = s.now().UnixMilli()
	cfg.Answers = in.Answers
	value, err := planner.Encode(cfg)
	if err != nil {
		return Accepted{}, judge.Refuse(judge.CodeBadRequest, judge.NotRun, err.Error())
	}
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: planner.Key(cfg.Generation), Value: value})
	if err != nil {
		return Accepted{}, judge.Refuse(judge.CodeStoreUnreachable, judge.MayHaveRun, "the platform did not say whether the configuration was accepted; look at the history").WithRetryAfter(s.jitter(time.Second))
	}
	if !result.Applied {
		return Accepted{}, judge.Refuse(judge.CodeConflict, judge.NotRun, "another operator submitted at the same time; plan again")
	}
	s.applyConfig(value)
	return Accepted{Generation: cfg.Generation}, nil
}

func (s *Server) newestGeneration(ctx context.Context) (uint64, error) {
	rows, err := s.cfg.Table.Scan(ctx, provider.Scan{Prefix: planner.KeyPrefix, Reverse: true, Limit: 1})
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	cfg, err := planner.Decode(rows[0].Value)
	return cfg.Generation, err
}

func (s *Server) adminConfig(c *gin.Context) {
	cfg := s.state.config()
	if cfg == nil {
		s.writeRefusal(c, judge.Refuse(judge.CodeNotConfigured, judge.NotRun, "this entry has no configuration yet"))
		return
	}
	c.JSON(http.StatusOK, cfg)
}

func (s *Server) adminSpread(c *gin.Context) {
	generation, _ := strconv.ParseUint(c.Query("generation"), 10, 64)
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	spread := Spread{Generation: generation, Everywhere: s.state.hasVMList && s.state.generationLocked() >= generation}
	spread.Entries = s.state.tracker.Statuses(now)
	for _, entry := range spread.Entries {
		if !entry.Leaving && entry.Generation < generation {
			spread.Everywhere = false
		}
	}
	c.JSON(http.StatusOK, spread)
}

func (s *Server) adminMoveStart(c *gin.Context) {
	in, refusal := readJSON[MoveOrder](c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	m, err := s.startMove(c.Request.Context(), c.GetString(operatorContextKey), in.Deployment, in.To, time.Duration(in.WithinMS)*time.Millisecond)
	if err != nil {
		s.writeRefusal(c, refusalOf(err))
		return
	}
	c.JSON(http.StatusOK, m)
}

func (s *Server) adminMoveRollBack(c *gin.Context) {
	in, refusal := readJSON[MoveOrder](c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	m, err := s.rollBackMove(c.Request.Context(), c.GetString(operatorContextKey), in.Deployment)
	if err != nil {
		s.writeRefusal(c, refusalOf(err))
		return
	}
	c.JSON(http.StatusOK, m)
}

func (s *Server) adminMoves(c *gin.Context) { c.JSON(http.StatusOK, s.moveStatuses()) }

func (s *Server) moveStatuses() []MoveStatus {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	list := make([]MoveStatus, 0, len(s.state.moves))
	for _, m := range s.state.moves {
		status := MoveStatus{Move: m.move, Outcomes: m.newVersionOutcomes}
		if d, ok := s.state.cfg.Deployment(m.move.Deployment); ok {
			policy := d.Move.Policy()
			status.Share = mover.Share(m.move, policy)
			status.LateMS = mover.DeadlineOverrun(now, m.move, policy, m.outcomeRate(now)).Milliseconds()
		}
		list = append(list, status)
	}
	return list
}

// outcomeRate returns the mean number of outcomes per second of both versions since
// the move started.
func (m *moveState) outcomeRate(now time.Time) float64 {
	total := 0
	for _, counts := range m.totals {
		total += counts.Current.Outcomes + counts.New.Outcomes
	}
	seconds := float64(now.UnixMilli()-m.move.StartedMS) / 1000
	if seconds <= 0 {
		return 0
	}
	return float64(total) / seconds
}

func (s *Server) adminUpstreams(c *gin.Context) {
	s.state.mu.Lock()
	statuses := s.state.router.Statuses()
	s.state.mu.Unlock()
	list := make([]UpstreamStatus, 0, len(statuses))
	for _, status := range statuses {
		list = append(list, upstreamStatus(status))
	}
	c.JSON(http.StatusOK, list)
}

func upstreamStatus(status router.Status) UpstreamStatus {
	return UpstreamStatus{
		ID: status.ID, Deployment: status.Deployment, Version: status.Version, FailureDomain: status.FailureDomain,
		State: string(status.State), InFlight: status.InFlight, Running: status.Running, Slots: status.Slots,
	}
}

func (s *Server) adminStatus(c *gin.Context) {
	ready, reason := s.state.ready()
	status := Status{Self: s.cfg.Self, Ready: ready, Reason: reason, OpenRuns: len(s.runs.open())}
	if cfg := s.state.config(); cfg != nil {
		status.Generation, status.Firm, status.Moves = cfg.Generation, cfg.Firm, s.moveStatuses()
	}
	now := s.now()
	s.state.mu.Lock()
	status.Entries = s.state.tracker.Statuses(now)
	s.state.mu.Unlock()
	c.JSON(http.StatusOK, status)
}
