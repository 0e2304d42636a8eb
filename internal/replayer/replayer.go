package replayer

import (
	"context"
	"slices"
	"sync"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

// StateKind says whether a response is open, and how it ended if it is not.
type StateKind int

// The kinds of states. Open means that the response has not ended, HandedOff that
// another entry continues it.
const (
	Open StateKind = iota
	Done
	Refused
	HandedOff
)

// State is the state of a response. The zero value is open.
type State struct {
	Kind StateKind
	// Refusal is set if Kind is Refused.
	Refusal *judge.Refusal
}

// Buffer holds the parts of one response. The zero value is empty and open.
type Buffer struct {
	mu       sync.Mutex
	text     []byte
	partEnds []uint32
	state    State
	readers  []*Reader
}

// Append adds a part. Parts after the end are dropped.
func (b *Buffer) Append(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state.Kind != Open {
		return
	}
	b.text = append(b.text, text...)
	b.partEnds = append(b.partEnds, uint32(len(b.text)))
	b.notifyReaders()
}

// End ends the response with a state that is not open. Only the first call has an
// effect. End reports whether this was the first.
func (b *Buffer) End(state State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state.Kind != Open {
		return false
	}
	b.state = state
	b.notifyReaders()
	return true
}

func (b *Buffer) notifyReaders() {
	for _, r := range b.readers {
		select {
		case r.signal <- struct{}{}:
		default:
		}
	}
}

// Len returns the number of parts.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.partEnds)
}

// State returns the state of the response.
func (b *Buffer) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// Text returns a copy of all parts joined.
func (b *Buffer) Text() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.text)
}

// Parts returns the parts.
func (b *Buffer) Parts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := make([]string, len(b.partEnds))
	for i := range b.partEnds {
		parts[i] = b.part(i)
	}
	return parts
}

func (b *Buffer) part(i int) string {
	start := uint32(0)
	if i > 0 {
		start = b.partEnds[i-1]
	}
	return string(b.text[start:b.partEnds[i]])
}

// Readers returns the number of open readers.
func (b *Buffer) Readers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readers)
}

// Reader reads a buffer from an offset on.
type Reader struct {
	buffer *Buffer
	next   int
	signal chan struct{}
}

// Reader returns a reader that starts at the part with offset from.
func (b *Buffer) Reader(from int) *Reader {
	r := &Reader{buffer: b, next: from, signal: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = append(b.readers, r)
	return r
}

// Offset returns the offset of the next part.
func (r *Reader) Offset() int { return r.next }

// Next returns the next part, or an empty text and the state of the ended response.
// It waits until there is either, or until ctx ends.
func (r *Reader) Next(ctx context.Context) (string, State, error) {
	for {
		text, state, ok := r.tryNext()
		if ok {
			return text, state, nil
		}
		select {
		case <-ctx.Done():
			return "", State{}, ctx.Err()
		case <-r.signal:
		}
	}
}

func (r *Reader) tryNext() (string, State, bool) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.next < len(b.partEnds) {
		text := b.part(r.next)
		r.next++
		return text, State{}, true
	}
	return "", b.state, b.state.Kind != Open
}

// Close removes the reader from its buffer.
func (r *Reader) Close() {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers = slices.DeleteFunc(b.readers, func(other *Reader) bool { return other == r })
}
