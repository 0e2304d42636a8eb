package emulator

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMeasuredMicros = int64(time.Minute / time.Microsecond)
	histogramDigits   = 3
	loadTimeout       = 5 * time.Minute
)

// loadCommand is an open-loop load generator: it sends requests at a fixed
// rate, without waiting for earlier ones. It loads an entry and, for comparison
// in the same run, an engine without an entry in between.
type loadCommand struct {
	Entry    string        `long:"entry" required:"yes" description:"the entry's address for callers, http://ip:port"`
	Direct   string        `long:"direct" description:"an engine's address to compare with, http://ip:port"`
	Token    string        `long:"token" default:"demo-mercado-sol" description:"the callers' bearer token"`
	Route    string        `long:"route" default:"chat-answer" description:"the model to ask"`
	Rate     float64       `long:"rate" default:"50" description:"requests a second to each"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long requests start"`
	Tokens   int           `long:"tokens" default:"50" description:"tokens of each answer"`
	Streams  int           `long:"open" description:"instead: open that many streams and report the entry's memory"`
	Admin    string        `long:"admin" description:"the entry's address for operators, for --open"`
}

// loadTarget is one of the two addresses that are compared, with the results
// measured there.
type loadTarget struct {
	name             string
	baseURL          string
	mu               sync.Mutex
	firstTokenMicros *hdrhistogram.Histogram
	tokenGapMicros   *hdrhistogram.Histogram
	completed        atomic.Int64
	failed           atomic.Int64
	tokens           atomic.Int64
}

func newLoadTarget(name, base string) *loadTarget {
	return &loadTarget{
		name: name, baseURL: base,
		firstTokenMicros: hdrhistogram.New(1, maxMeasuredMicros, histogramDigits),
		tokenGapMicros:   hdrhistogram.New(1, maxMeasuredMicros, histogramDigits),
	}
}

// Execute sends the load and prints the measurements.
func (c *loadCommand) Execute([]string) error {
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 10000, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}}
	if c.Streams > 0 {
		return c.measureStreams(client)
	}
	targets := []*loadTarget{newLoadTarget("entry", c.Entry)}
	if c.Direct != "" {
		targets = append(targets, newLoadTarget("direct", c.Direct))
	}
	var group sync.WaitGroup
	start := time.Now()
	interval := time.Duration(float64(time.Second) / c.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; time.Since(start) < c.Duration; n++ {
		<-ticker.C
		for _, target := range targets {
			group.Add(1)
			go func() {
				defer group.Done()
				c.send(client, target, n)
			}()
		}
	}
	group.Wait()
	printResults(os.Stdout, targets, time.Since(start))
	return nil
}

func (c *loadCommand) newRequest(base string, n, tokens int) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"question %d of the load"}],"stream":true,"max_tokens":%d}`, c.Route, n, tokens)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("X-Request-Id", strconv.Itoa(n))
	return req, nil
}

func (c *loadCommand) send(client *http.Client, target *loadTarget, n int) {
	req, err := c.newRequest(target.baseURL, n, c.Tokens)
	if err != nil {
		target.failed.Add(1)
		return
	}
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		target.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		target.failed.Add(1)
		return
	}
	target.measure(resp.Body, sentAt)
}

// measure reads a streamed response and records the time to its first part and
// the times between parts.
func (t *loadTarget) measure(body io.Reader, sentAt time.Time) {
	last := sentAt
	parts := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			continue
		}
		now := time.Now()
		parts++
		t.mu.Lock()
		if parts == 1 {
			_ = t.firstTokenMicros.RecordValue(max(1, now.Sub(sentAt).Microseconds()))
		} else {
			_ = t.tokenGapMicros.RecordValue(max(1, now.Sub(last).Microseconds()))
		}
		t.mu.Unlock()
		last = now
	}
	t.tokens.Add(int64(parts))
	if lines.Err() != nil || parts == 0 {
		t.failed.Add(1)
		return
	}
	t.completed.Add(1)
}

func printResults(out io.Writer, targets []*loadTarget, elapsed time.Duration) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "to\tdone\tfailed\trequests/s\ttokens/s\tfirst p50 us\tfirst p95 us\tfirst p99 us\tbetween p50 us\tbetween p95 us")
	for _, t := range targets {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d\n", t.name, t.completed.Load(), t.failed.Load(),
			float64(t.completed.Load())/elapsed.Seconds(), float64(t.tokens.Load())/elapsed.Seconds(),
			t.firstTokenMicros.ValueAtQuantile(50), t.firstTokenMicros.ValueAtQuantile(95), t.firstTokenMicros.ValueAtQuantile(99),
			t.tokenGapMicros.ValueAtQuantile(50), t.tokenGapMicros.ValueAtQuantile(95))
	}
	_ = w.Flush()
}

// measureStreams opens streams, keeps them open and prints the entry's memory
// before and after.
func (c *loadCommand) measureStreams(client *http.Client) error {
	before, err := c.readMemory(client)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var opened sync.WaitGroup
	var refused atomic.Int64
	openSlots := make(chan struct{}, 64)
	for n := range c.Streams {
		opened.Add(1)
		openSlots <- struct{}{}
		go func() {
			req, err := c.newRequest(c.Entry, n, 10000)
			if err == nil {
				var resp *http.Response
				resp, err = client.Do(req.WithContext(ctx))
				if err == nil && resp.StatusCode != http.StatusOK {
					err = io.ErrUnexpectedEOF
				}
				if err == nil {
					_, err = resp.Body.Read(make([]byte, 1))
				}
			}
			if err != nil {
				refused.Add(1)
			}
			<-openSlots
			opened.Done()
			<-ctx.Done()
		}()
	}
	opened.Wait()
	// Garbage left by opening the streams is freed only by a second collection.
	if _, err := c.readMemory(client); err != nil {
		return err
	}
	after, err := c.readMemory(client)
	if err != nil {
		return err
	}
	open := int64(c.Streams) - refused.Load()
	fmt.Printf("open=%d refused=%d memory_before=%d memory_with=%d bytes_a_stream=%d\n", open, refused.Load(), before, after, (after-before)/max(1, open))
	return nil
}

// readMemory makes the entry collect garbage and returns its resident memory in
// bytes.
func (c *loadCommand) readMemory(client *http.Client) (int64, error) {
	resp, err := client.Get(c.Admin + "/metrics?collect=1")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "memory_bytes "); ok {
			return strconv.ParseInt(value, 10, 64)
		}
	}
	return 0, io.ErrUnexpectedEOF
}
