package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	maxEventBytes = 64 << 10
	// maxStaleParts is the number of dropped parts, those of other attempts or of
	// offsets already received, above which a stream is aborted.
	maxStaleParts = 64
	// maxCacheBytes limits a KV cache that is transferred.
	maxCacheBytes = 8 << 20
)

type enginePart struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Offset    int    `json:"offset"`
	Text      string `json:"text"`
	Done      bool   `json:"done"`
}

type resumeBody struct {
	ResumeText string `json:"resume_text"`
}

// Generate starts a streamed response on a model engine.
func (h *HTTP) Generate(ctx context.Context, target Target, a Attempt) (Stream, error) {
	body, err := addResumeText(a.Body, a.ResumeText)
	if err != nil {
		return nil, judge.Wrap(judge.NotRun, err, "encode the request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, judge.Wrap(judge.NotRun, err, "address a request")
	}
	req.GetBody = nil
	setAttemptHeaders(req, a)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerResumeFrom, strconv.Itoa(a.ResumeFrom))
	if a.ResumeKV {
		req.Header.Set(headerResumeKV, "1")
	}
	resp, err := h.roundTrip(h.pooled, req, target)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, judge.Errorf(judge.MayHaveRun, "%s answered with status %d", target.ID, resp.StatusCode)
	}
	if !matchesAttempt(resp, a) {
		resp.Body.Close()
		return nil, judge.Errorf(judge.MayHaveRun, "%s answered another request", target.ID)
	}
	running, _ := strconv.Atoi(resp.Header.Get(headerRunning))
	return &eventStream{target: target, attempt: a, body: resp.Body, offset: a.ResumeFrom, running: max(0, running)}, nil
}

// addResumeText adds the text that the caller already has to a JSON object.
func addResumeText(body, sent []byte) ([]byte, error) {
	if len(sent) == 0 {
		return body, nil
	}
	resume, err := json.Marshal(resumeBody{ResumeText: string(sent)})
	if err != nil {
		return nil, err
	}
	object := bytes.TrimSpace(body)
	object = object[:len(object)-1]
	return append(append(object[:len(object):len(object)], ','), resume[1:]...), nil
}

type eventStream struct {
	target     Target
	attempt    Attempt
	body       io.ReadCloser
	offset     int
	staleParts int
	done       bool
	// running is the number of running requests reported with the response.
	running int
}

// Running returns the number of running requests reported with the response.
func (s *eventStream) Running() int { return s.running }

// Parts returns the parts of this attempt in the order of their offsets.
func (s *eventStream) Parts() iter.Seq2[Part, error] {
	return func(yield func(Part, error) bool) {
		for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Part{}, judge.Wrap(judge.MayHaveRun, err, "receive from %s", s.target.ID))
				return
			}
			part, fits, err := s.accept(event)
			if !fits && err == nil {
				continue
			}
			if !yield(part, err) || err != nil || part.Done {
				return
			}
		}
		yield(Part{}, judge.Errorf(judge.MayHaveRun, "%s ended the answer early", s.target.ID))
	}
}

func (s *eventStream) accept(event sse.Event) (Part, bool, error) {
	var p enginePart
	if err := json.Unmarshal([]byte(event.Data), &p); err != nil {
		return Part{}, false, judge.Wrap(judge.MayHaveRun, err, "%s sent what is no part", s.target.ID)
	}
	if p.RequestID != s.attempt.RequestID || p.Attempt != s.attempt.Number || p.Offset < s.offset {
		s.staleParts++
		if s.staleParts > maxStaleParts {
			return Part{}, false, judge.Errorf(judge.MayHaveRun, "%s sends parts of other requests", s.target.ID)
		}
		return Part{}, false, nil
	}
	if p.Offset > s.offset {
		return Part{}, false, judge.Errorf(judge.MayHaveRun, "%s left out part %d", s.target.ID, s.offset)
	}
	s.offset++
	s.done = p.Done
	return Part{Offset: p.Offset, Text: p.Text, Done: p.Done}, true, nil
}

// Close ends the stream.
func (s *eventStream) Close() {
	if s.done {
		// Reading the short rest of the body lets the connection be reused.
		_, _ = io.CopyN(io.Discard, s.body, maxEventBytes)
	}
	_ = s.body.Close()
}

// MoveKV transfers the KV cache of an attempt from one engine to another.
func (h *HTTP) MoveKV(ctx context.Context, from, to Target, requestID string, attempt int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Address+"/kv/"+requestID+"/"+strconv.Itoa(attempt), nil)
	if err != nil {
		return err
	}
	resp, err := h.roundTrip(h.unpooled, req, from)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return judge.Errorf(judge.NotRun, "%s exports no cache of the request", from.ID)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// A cache that was cut would look complete.
		return judge.Errorf(judge.NotRun, "%s exports a cache without a length", from.ID)
	}
	putReq, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to.Address+"/kv/"+requestID, http.MaxBytesReader(nil, resp.Body, maxCacheBytes))
	if err != nil {
		return err
	}
	putResp, err := h.roundTrip(h.unpooled, putReq, to)
	if err != nil {
		return err
	}
	defer putResp.Body.Close()
	if putResp.StatusCode != http.StatusOK {
		return judge.Errorf(judge.NotRun, "%s imports no cache", to.ID)
	}
	return nil
}
