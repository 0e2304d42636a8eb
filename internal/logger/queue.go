package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer.
	maxQueuedLines = 512
	// dropReportInterval is the time between reports of dropped lines.
	dropReportInterval = time.Second
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	Out io.Writer
	// MaxPerSecond bounds the lines of one event in a second. Zero means no bound.
	MaxPerSecond int
	Now          func() time.Time
}

// Queue is an io.Writer that passes lines to another writer without blocking. It
// is safe for concurrent use.
type Queue struct {
	cfg   QueueConfig
	lines chan []byte

	mu      sync.Mutex
	second  int64
	written map[string]int
	dropped map[string]int
}

// NewQueue returns a queue that writes nothing until Run.
func NewQueue(cfg QueueConfig) *Queue {
	return &Queue{cfg: cfg, lines: make(chan []byte, maxQueuedLines), written: map[string]int{}, dropped: map[string]int{}}
}

// Write queues or drops one line. It never fails and never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	event := eventOf(line)
	if !q.admit(event) {
		return len(line), nil
	}
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.countDropped(event)
	}
	return len(line), nil
}

func (q *Queue) admit(event string) bool {
	if q.cfg.MaxPerSecond <= 0 {
		return true
	}
	second := q.cfg.Now().Unix()
	q.mu.Lock()
	defer q.mu.Unlock()
	if second != q.second {
		q.second = second
		clear(q.written)
	}
	if q.written[event] >= q.cfg.MaxPerSecond {
		q.dropped[event]++
		return false
	}
	q.written[event]++
	return true
}

func (q *Queue) countDropped(event string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped[event]++
}

// eventOf returns the event name of a line.
func eventOf(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte("event="))
	if !found {
		return "none"
	}
	name, _, _ := bytes.Cut(rest, []byte(" "))
	return strings.TrimSpace(string(name))
}

// Run writes queued lines until ctx is done, then the rest of the queue.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ticker.C:
			q.reportDropped()
		case <-ctx.Done():
			q.flush()
			return nil
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			q.reportDropped()
			return
		}
	}
}

// write ignores errors: there is nowhere to report that logs can't be written.
func (q *Queue) write(line []byte) { _, _ = q.cfg.Out.Write(line) }

func (q *Queue) reportDropped() {
	q.mu.Lock()
	dropped := q.dropped
	q.dropped = map[string]int{}
	q.mu.Unlock()
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		q.write(fmt.Appendf(nil, "time=%s level=warn event=log_lines_dropped kind=%s count=%d\n",
			q.cfg.Now().Format(timeFormat), event, dropped[event]))
	}
}
