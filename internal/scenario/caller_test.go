package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// call is one caller's request and what the caller has received of the response.
type call struct {
	name        string
	entries     []string
	route       string
	service     bool
	org         string
	key         string
	body        string
	maxTokens   int
	stream      bool
	deadline    string
	reconnect   bool
	retriesLeft int

	mu           sync.Mutex
	id           string
	text         strings.Builder
	tokenCount   int
	lastEventID  int
	status       int
	refusal      *judge.Refusal
	responseBody string
	lastErr      error
	complete     bool
	movedEvents  int
	messages     []byte
	ended        chan struct{}
	cancel       context.CancelFunc
}

func newCall(name string, args []string) *call {
	c := &call{name: name, org: "mercado-sol", maxTokens: 16, stream: true, lastEventID: -1, ended: make(chan struct{}), body: name}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "entry":
			c.entries = strings.Split(value, ",")
		case "route":
			c.route = value
		case "service":
			c.route, c.service = value, true
		case "org":
			c.org = value
		case "key":
			c.key = value
		case "body":
			c.body = value
		case "tokens":
			c.maxTokens, _ = strconv.Atoi(value)
		case "whole":
			c.stream = false
		case "deadline":
			c.deadline = value
		case "reconnect":
			c.reconnect = true
		case "retries":
			c.retriesLeft, _ = strconv.Atoi(value)
		}
	}
	return c
}

// run sends the call to the first entry. If an attempt ends with an error and
// reconnect is set, the next attempt goes to the next entry, or again to the last one.
func (c *call) run(f *fleet) {
	defer close(c.ended)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	defer cancel()
	// Each attempt opens its own connection, as separate callers do.
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	client := &http.Client{Transport: transport}
	for try := 0; ; try++ {
		entry := c.entries[min(try, len(c.entries)-1)]
		err := c.attempt(ctx, f, client, entry, try)
		if err == nil || ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.lastErr = err
		retry := c.reconnect && try < 200
		c.mu.Unlock()
		if !retry {
			return
		}
		timer := time.NewTimer(50 * time.Millisecond)
		<-timer.C
	}
}

func (c *call) attempt(ctx context.Context, f *fleet, client *http.Client, entry string, try int) error {
	p, err := f.process(entry)
	if err != nil {
		return err
	}
	req, err := c.newRequest(ctx, "http://"+p.ip+":8080", try)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.mu.Lock()
	if id := resp.Header.Get("X-Request-Id"); id != "" {
		c.id = id
	}
	c.status = resp.StatusCode
	c.mu.Unlock()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.readStream(resp.Body)
	}
	return c.readResponse(resp)
}

// newRequest builds the request of attempt try. A chat call without a key that
// has an ID resumes with GET /v1/requests/ID; the others are sent again.
func (c *call) newRequest(ctx context.Context, base string, try int) (*http.Request, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var req *http.Request
	var err error
	switch {
	case c.service:
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/services/"+c.route+"/x", strings.NewReader(c.body))
	case try > 0 && c.id != "" && c.key == "":
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/requests/"+c.id, nil)
	default:
		c.messages, _ = json.Marshal([]map[string]string{{"role": "user", "content": c.body}})
		body := fmt.Sprintf(`{"model":%q,"messages":%s,"stream":%t,"max_tokens":%d}`, c.route, c.messages, c.stream, c.maxTokens)
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	}
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer demo-"+c.org)
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	if c.deadline != "" {
		req.Header.Set("X-Deadline-Ms", c.deadline)
	}
	if c.lastEventID >= 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(c.lastEventID))
	}
	if c.stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

// completion is a chat completion or one chunk of a streamed one.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

func (c *call) readStream(body io.Reader) error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		c.mu.Lock()
		end, err := c.handleEvent(event)
		c.mu.Unlock()
		if end || err != nil {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

// handleEvent applies one event of a stream and reports whether the stream has
// ended. c.mu must be held.
func (c *call) handleEvent(event sse.Event) (bool, error) {
	switch {
	case event.Type == "moved":
		c.movedEvents++
		return false, fmt.Errorf("moved")
	case event.Type == "error":
		c.refusal = &judge.Refusal{}
		return true, json.Unmarshal([]byte(event.Data), c.refusal)
	case event.Data == "[DONE]":
		c.complete = true
		return true, nil
	}
	var part completion
	if err := json.Unmarshal([]byte(event.Data), &part); err != nil {
		return true, err
	}
	if part.Choices[0].Delta.Content == "" {
		return false, nil
	}
	eventID, err := strconv.Atoi(event.LastEventID)
	if err != nil {
		return true, err
	}
	if eventID != c.lastEventID+1 {
		c.lastErr = fmt.Errorf("event ID %d follows %d", eventID, c.lastEventID)
		return true, nil
	}
	c.lastEventID = eventID
	c.tokenCount++
	c.text.WriteString(part.Choices[0].Delta.Content)
	return false, nil
}

func (c *call) readResponse(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp.StatusCode != http.StatusOK {
		var refusal judge.Refusal
		if err := json.Unmarshal(body, &refusal); err != nil {
			return fmt.Errorf("status %d with %q", resp.StatusCode, body)
		}
		c.refusal = &refusal
		if c.reconnect && (refusal.Code == judge.CodeLeaving || refusal.Code == judge.CodeNotFound || refusal.Code == judge.CodeInProgress || refusal.Code == judge.CodeNotConfigured) {
			return &refusal
		}
		if c.retriesLeft > 0 && refusal.RetryAfterMS > 0 {
			c.retriesLeft--
			timer := time.NewTimer(time.Duration(refusal.RetryAfterMS) * time.Millisecond)
			<-timer.C
			c.reconnect = true
			return &refusal
		}
		return nil
	}
	c.refusal = nil
	c.responseBody = string(body)
	c.complete = true
	var result completion
	if !c.service && json.Unmarshal(body, &result) == nil && len(result.Choices) > 0 {
		c.text.WriteString(result.Choices[0].Message.Content)
		c.tokenCount = bytes.Count([]byte(result.Choices[0].Message.Content), []byte(" "))
	}
	return nil
}

// checkComplete returns nil if the complete response to this call arrived, each
// token once.
func (c *call) checkComplete() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete {
		return fmt.Errorf("%s: no complete response: status=%d tokens=%d refusal=%v error=%v", c.name, c.status, c.tokenCount, c.refusal, c.lastErr)
	}
	if c.service {
		if !strings.Contains(c.responseBody, c.body) {
			return fmt.Errorf("%s: response to another call: %s", c.name, c.responseBody)
		}
		return nil
	}
	if want := emulator.ResponseText(c.messages, c.maxTokens); c.text.String() != want {
		return fmt.Errorf("%s: wrong response text:\n%s\nwant:\n%s", c.name, c.text.String(), want)
	}
	return nil
}

func (c *call) receivedTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokenCount
}
