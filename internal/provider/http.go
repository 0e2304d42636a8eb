package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxHeadBytes limits the head of a response, maxResponseBytes its body: the list of
	// 8,000 VMs has some 2 MiB.
	maxHeadBytes     = 16 << 10
	maxResponseBytes = 16 << 20
	defaultTimeout   = 2 * time.Second
	connectTimeout   = time.Second
)

// HTTPConfig configures an HTTP client.
type HTTPConfig struct {
	// BaseURL is the platform's address, such as http://10.0.0.1:7000.
	BaseURL string
	// LocalIP is the local address of connections. Empty means any.
	LocalIP string
	// Timeout limits the duration of one call. Zero means two seconds.
	Timeout time.Duration
	Log     zerolog.Logger
}

// HTTP is the client of a platform with a JSON API over HTTP. It implements
// Table and Cloud. It checks the guards of its calls' contexts (WithGuard).
type HTTP struct {
	base    string
	timeout time.Duration
	client  *http.Client
	log     zerolog.Logger
	// invalidVMs is the number of invalid elements of the last VM list.
	invalidVMs atomic.Int64
}

// NewHTTP returns a client. It makes no call.
func NewHTTP(cfg HTTPConfig) *HTTP {
	timeout := cfg.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	if cfg.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.LocalIP)}
	}
	transport := &http.Transport{DialContext: GuardedDial(dialer.DialContext), MaxIdleConnsPerHost: 16, MaxResponseHeaderBytes: maxHeadBytes}
	return &HTTP{base: cfg.BaseURL, timeout: timeout, client: &http.Client{Transport: transport}, log: cfg.Log}
}

// Get reads one row. A row that does not exist has version 0.
func (h *HTTP) Get(ctx context.Context, key string) (Row, error) {
	return call[Row](ctx, h, "/table/get", Row{Key: key})
}

// Put writes one row if it is at the expected version.
func (h *HTTP) Put(ctx context.Context, put Put) (PutResult, error) {
	return call[PutResult](ctx, h, "/table/put", put)
}

// Batch writes rows in one call. Each write applies or fails on its own.
func (h *HTTP) Batch(ctx context.Context, puts []Put) ([]PutResult, error) {
	return call[List[PutResult]](ctx, h, "/table/batch", puts)
}

// Scan reads rows by prefix.
func (h *HTTP) Scan(ctx context.Context, scan Scan) ([]Row, error) {
	return call[List[Row]](ctx, h, "/table/scan", scan)
}

// VMs reads the VM list. Invalid elements are left out, and logged when their number changes.
func (h *HTTP) VMs(ctx context.Context) ([]VM, error) {
	list, err := call[listWithInvalid[VM]](ctx, h, "/cloud/vms", struct{}{})
	if err != nil {
		return nil, err
	}
	if n := int64(len(list.invalid)); h.invalidVMs.Swap(n) != n {
		h.log.Warn().Str("event", "vms_invalid").Int64("invalid", n).Int("valid", len(list.valid)).Errs("errors", list.invalid[:min(3, len(list.invalid))]).Send()
	}
	return list.valid, nil
}

// Notices reads the reclaims announced so far.
func (h *HTTP) Notices(ctx context.Context) ([]Notice, error) {
	return call[List[Notice]](ctx, h, "/cloud/notices", struct{}{})
}

// Offers reads the prices of VMs.
func (h *HTTP) Offers(ctx context.Context) ([]Offer, error) {
	return call[List[Offer]](ctx, h, "/cloud/offers", struct{}{})
}

// Start orders one VM.
func (h *HTTP) Start(ctx context.Context, order StartOrder) (OrderReply, error) {
	return call[OrderReply](ctx, h, "/cloud/start", order)
}

// Stop releases one VM.
func (h *HTTP) Stop(ctx context.Context, order StopOrder) (OrderReply, error) {
	return call[OrderReply](ctx, h, "/cloud/stop", order)
}

// noGuard is the guard of calls that are sent without a condition.
func noGuard() error { return nil }

func call[Resp, Req any](ctx context.Context, h *HTTP, path string, req Req) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, Unreachable.Wrap(err, "encode %s", path)
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	// A kept connection may have the guard of its last call. The guard of ctx, if any, is
	// set after this one.
	ctx = WithGuard(ctx, noGuard)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, bytes.NewReader(body))
	if err != nil {
		return resp, Unreachable.Wrap(err, "address %s", path)
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpResp, err := h.client.Do(httpReq)
	if err != nil {
		CloseSilent(h.client, err)
		return resp, CallError(err, path)
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode != http.StatusOK {
		return resp, Unreachable.New("call %s: status %d", path, httpResp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(&resp); err != nil {
		CloseSilent(h.client, err)
		return resp, Unreachable.Wrap(err, "decode %s", path)
	}
	return resp, nil
}
