package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenahitch/galenahitch/internal/rationer"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// bodyTimeout limits the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits bodies if the configuration sets no limit.
	defaultMaxBodyBytes int64 = 4 << 20
	// requestMemoryShare is the share of the process's memory that the bodies of requests
	// may hold together, except those of up to smallBodyBytes.
	requestMemoryShare = 0.25
	smallBodyBytes     = 16 << 10
	// bodyGrowth is the factor between the steps in which a body of unknown length takes
	// memory.
	bodyGrowth = 16
	// bodyWaitShare is the share of its time for which a request waits for that memory. Its
	// body stays unread meanwhile.
	bodyWaitShare = 0.3
)

var errNoRequestMemory = errors.New("the bodies of requests hold too much memory")

// readBody reads the body of a request. A long one for which there is no memory in time is
// refused before it is read.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) *judge.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	memory := g.requestMemory.Ration()
	c.bodyMemory = memory.Shared()
	controller := http.NewResponseController(w)
	limit = cmp.Or(max(limit, 0), defaultMaxBodyBytes)
	err := controller.SetReadDeadline(c.arrived.Add(bodyTimeout))
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(bodyWaitShare*float64(c.deadline.Sub(c.arrived))))
		defer cancel()
		c.body, err = readWhole(ctx, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, memory)
	}
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNoRequestMemory):
		g.metrics.Count("bodies_refused")
		g.cfg.Log.Info().Str("event", "body_refused").Str("request_id", c.request.ID).Int64("length", r.ContentLength).
			Int64("memory_left", g.requestMemory.Left()).Dur("waited", g.cfg.Now().Sub(c.arrived)).Send()
		refusal := judge.Refuse(judge.CodeOverloaded, judge.NotRun, err.Error()).WithRetryAfter(g.state.jitter(retryDelay))
		refusal.Status = http.StatusServiceUnavailable
		return refusal
	case errors.As(err, &tooLarge):
		return judge.Refuse(judge.CodeTooLarge, judge.NotRun, "the body is too large")
	default:
		return judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the body can't be read")
	}
}

// readWhole reads a body whose length is negative if it is not known. Its reader returns an
// error beyond the limit. While there is no memory for a long one it stays unread, until ctx
// ends. One of unknown length takes memory in steps.
func readWhole(ctx context.Context, body io.Reader, length, limit int64, memory *rationer.Ration) ([]byte, error) {
	read := &bytes.Buffer{}
	if length >= 0 {
		read.Grow(int(min(length, smallBodyBytes)) + bytes.MinRead)
	}
	for size := int64(smallBodyBytes); ; size = min(size*bodyGrowth, limit+1) {
		if length > size && length <= limit {
			size = length
		}
		if more := size - int64(read.Len()); size > smallBodyBytes {
			if !memory.GrowWithin(ctx, int(more)) {
				return nil, errNoRequestMemory
			}
			read.Grow(int(more) + bytes.MinRead)
		}
		_, err := io.CopyN(read, body, size-int64(read.Len()))
		switch {
		case err == io.EOF || err == nil && int64(read.Len()) == length:
			memory.Trim(read.Cap())
			return read.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}
