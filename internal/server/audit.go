package server

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/recorder"
)

func (s *Server) adminHistory(c *gin.Context) {
	rows, err := s.cfg.Table.Scan(c.Request.Context(), provider.Scan{Prefix: planner.KeyPrefix, Reverse: true, Limit: maxHistoryRows})
	if err != nil {
		s.writeRefusal(c, refusalOf(err))
		return
	}
	history := make([]recorder.Record, 0, len(rows))
	for _, row := range rows {
		if cfg, err := planner.Decode(row.Value); err == nil {
			history = append(history, configRecord(cfg))
		}
	}
	c.JSON(http.StatusOK, history)
}

// configRecord returns the audit record of an accepted configuration.
func configRecord(cfg planner.Config) recorder.Record {
	return recorder.Record{
		AtMS: cfg.SubmittedMS, Actor: cfg.SubmittedBy, Event: "config_accepted",
		Subject: "generation " + strconv.FormatUint(cfg.Generation, 10), Detail: "answers of " + cfg.Firm, Generation: cfg.Generation,
	}
}

// adminAudit responds with the audit trail.
func (s *Server) adminAudit(c *gin.Context) {
	trail, err := s.auditTrail(c.Request.Context())
	if err != nil {
		s.writeRefusal(c, refusalOf(err))
		return
	}
	c.JSON(http.StatusOK, trail)
}

// auditTrail reads the newest audit records, configurations and moves from the
// platform's table and returns them as records in the order of time.
func (s *Server) auditTrail(ctx context.Context) ([]recorder.Record, error) {
	rows, err := s.cfg.Table.Scan(ctx, provider.Scan{Prefix: "audit/", Reverse: true, Limit: maxAuditRows})
	if err != nil {
		return nil, err
	}
	trail := make([]recorder.Record, 0, len(rows))
	for _, row := range rows {
		var record recorder.Record
		if json.Unmarshal(row.Value, &record) == nil {
			trail = append(trail, record)
		}
	}
	configs, err := s.cfg.Table.Scan(ctx, provider.Scan{Prefix: planner.KeyPrefix, Reverse: true, Limit: maxHistoryRows})
	if err != nil {
		return nil, err
	}
	for _, row := range configs {
		if cfg, err := planner.Decode(row.Value); err == nil {
			trail = append(trail, configRecord(cfg))
		}
	}
	for _, prefix := range []string{movePrefix, pastMovePrefix} {
		moves, err := s.cfg.Table.Scan(ctx, provider.Scan{Prefix: prefix, Reverse: true, Limit: maxHistoryRows})
		if err != nil {
			return nil, err
		}
		for _, row := range moves {
			var m mover.Move
			if json.Unmarshal(row.Value, &m) == nil {
				trail = append(trail, moveRecords(m)...)
			}
		}
	}
	slices.SortStableFunc(trail, func(a, b recorder.Record) int { return int(a.AtMS - b.AtMS) })
	return trail, nil
}

// moveRecords returns the audit records of a move's history.
func moveRecords(m mover.Move) []recorder.Record {
	records := make([]recorder.Record, 0, len(m.History))
	for _, change := range m.History {
		records = append(records, recorder.Record{
			AtMS: change.AtMS, Actor: change.Actor, Event: "move_" + string(change.Event), Subject: m.ID, Detail: change.Detail,
		})
	}
	return records
}
