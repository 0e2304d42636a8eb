package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// maxHeadBytes limits the head of a response, interim responses included.
	maxHeadBytes     = 16 << 10
	maxResponseBytes = 8 << 20
	// maxReportBytes limits a report of an upstream.
	maxReportBytes     = 64 << 10
	probeTimeout       = time.Second
	connectTimeout     = time.Second
	idleTimeout        = 30 * time.Second
	bufferBytes        = 2 << 10
	maxIdlePerUpstream = 64
)

// Config configures an HTTP client.
type Config struct {
	// LocalIP is the local address of connections. Empty means any.
	LocalIP string
}

// HTTP is the client of upstreams that use HTTP/1.1 with server-sent events. It
// implements UpstreamClient.
type HTTP struct {
	pooled   *http.Transport
	unpooled *http.Transport
	signals  atomic.Pointer[func(Target, Signals)]
}

// NewHTTP returns a client. It makes no call.
func NewHTTP(cfg Config) *HTTP {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if cfg.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.LocalIP)}
	}
	dial := pooler.OrderedDial(dialer.DialContext)
	return &HTTP{
		pooled: &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    maxIdlePerUpstream,
			IdleConnTimeout:        idleTimeout,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		unpooled: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// CloseIdle closes the kept connections that are idle, after one was found to be silent.
// What has made it silent has usually done so to all that were open.
func (h *HTTP) CloseIdle() { h.pooled.CloseIdleConnections() }

// Close closes idle connections.
func (h *HTTP) Close() {
	h.pooled.CloseIdleConnections()
	h.unpooled.CloseIdleConnections()
}

// roundTrip sends a request and returns the response. An error carries a verdict
// on the execution of the request. What the head of the response says of the upstream is
// reported.
func (h *HTTP) roundTrip(transport *http.Transport, req *http.Request, target Target) (*http.Response, error) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(conn httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(conn.Reused)
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if reused.Load() && errors.Is(err, context.DeadlineExceeded) {
			h.CloseIdle()
		}
		if !connected.Load() {
			return nil, judge.Wrap(judge.NotRun, err, "connect to %s", req.URL.Host)
		}
		return nil, judge.Wrap(judge.MayHaveRun, err, "exchange with %s", req.URL.Host)
	}
	h.reportSignals(target, resp)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) != "" {
		resp.Body.Close()
		if !refuses(resp, req, reused.Load()) {
			// The response to this request may still arrive on the connection.
			h.CloseIdle()
			return nil, judge.Errorf(judge.MayHaveRun, "%s refused another request", req.URL.Host)
		}
		return nil, judge.Errorf(judge.NotRun, "%s refused the request", req.URL.Host)
	}
	return resp, nil
}

// refuses reports whether a refusal is that of the request: it repeats its attempt, or
// repeats none and is the first response on its connection.
func refuses(refusal *http.Response, req *http.Request, reused bool) bool {
	if refusal.Header.Get(headerRequestID) == "" {
		return !reused
	}
	return refusal.Header.Get(headerRequestID) == req.Header.Get(headerRequestID) && refusal.Header.Get(headerAttempt) == req.Header.Get(headerAttempt)
}

// OnSignals sets the function that receives the signals of upstreams.
func (h *HTTP) OnSignals(handle func(Target, Signals)) { h.signals.Store(&handle) }

// reportSignals reports what the head of a response says of its upstream.
func (h *HTTP) reportSignals(target Target, resp *http.Response) {
	handle := h.signals.Load()
	if handle == nil {
		return
	}
	var s Signals
	if text := resp.Header.Get(headerLeaving); text != "" {
		// An invalid time counts as none.
		ms, _ := strconv.ParseUint(text, 10, 31)
		s.Leaving, s.ReclaimIn = true, time.Duration(ms)*time.Millisecond
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		s.RetryAfter = router.ParseBackoff(resp.Header.Get(headerRetryAfter))
	}
	if s != (Signals{}) {
		(*handle)(target, s)
	}
}

func setAttemptHeaders(req *http.Request, a Attempt) {
	req.Header.Set(headerRequestID, a.RequestID)
	req.Header.Set(headerAttempt, strconv.Itoa(a.Number))
}

func matchesAttempt(resp *http.Response, a Attempt) bool {
	return resp.Header.Get(headerRequestID) == a.RequestID && resp.Header.Get(headerAttempt) == strconv.Itoa(a.Number)
}

// Call performs one call on a plain service.
func (h *HTTP) Call(ctx context.Context, target Target, call Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+target.Address+"/run/"+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, judge.Wrap(judge.NotRun, err, "address a call")
	}
	// Without GetBody net/http can't send the request again.
	req.GetBody = nil
	setAttemptHeaders(req, call.Attempt)
	req.Header.Set(headerKey, call.IdempotencyKey)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	transport := h.pooled
	if call.NewConnection {
		transport = h.unpooled
	}
	resp, err := h.roundTrip(transport, req, target)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, judge.Wrap(judge.MayHaveRun, err, "read the answer of %s", target.ID)
	}
	if len(body) > maxResponseBytes {
		return Response{}, judge.Errorf(judge.MayHaveRun, "the answer of %s is larger than %d bytes", target.ID, maxResponseBytes)
	}
	if !IsForwardableStatus(resp.StatusCode) {
		return Response{}, judge.Errorf(judge.MayHaveRun, "%s answered with status %d", target.ID, resp.StatusCode)
	}
	if !matchesAttempt(resp, call.Attempt) {
		return Response{}, judge.Errorf(judge.MayHaveRun, "%s answered another request", target.ID)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// getJSON reads JSON from an upstream on a new connection.
func getJSON[T any](ctx context.Context, h *HTTP, target Target, path string) (T, int, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return value, 0, judge.Wrap(judge.NotRun, err, "address a probe")
	}
	resp, err := h.roundTrip(h.unpooled, req, target)
	if err != nil {
		return value, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return value, resp.StatusCode, nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&value)
	return value, resp.StatusCode, err
}

type loadReport struct {
	Version   string `json:"version"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	LeavingMS int64  `json:"leaving_ms"`
	Boot      string `json:"boot"`
}

// Load queries the load of an upstream.
func (h *HTTP) Load(ctx context.Context, target Target) (Load, error) {
	report, status, err := getJSON[loadReport](ctx, h, target, "/load")
	if err != nil {
		return Load{}, err
	}
	if status != http.StatusOK {
		return Load{}, judge.Errorf(judge.NotRun, "%s reports status %d", target.ID, status)
	}
	return Load{
		Version:   report.Version,
		Running:   report.Running,
		Slots:     report.Slots,
		ReclaimIn: time.Duration(report.LeavingMS) * time.Millisecond,
		BootID:    report.Boot,
	}, nil
}

type progressReport struct {
	Done   bool `json:"done"`
	Tokens int  `json:"tokens"`
}

// Progress queries the progress of an attempt on an upstream.
func (h *HTTP) Progress(ctx context.Context, target Target, requestID string, attempt int) (Progress, error) {
	report, status, err := getJSON[progressReport](ctx, h, target, "/attempts/"+requestID+"/"+strconv.Itoa(attempt))
	if err != nil {
		return Progress{}, err
	}
	return Progress{Found: status == http.StatusOK, Done: report.Done, Tokens: report.Tokens}, nil
}
