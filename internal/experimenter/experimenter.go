package experimenter

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"
)

// Config configures an experiment.
type Config struct {
	Seed uint64
	// Runs is the number of repetitions in experiments that repeat; 0 means the
	// default of each experiment.
	Runs int
	Out  io.Writer
	// Plots is the folder for plots; empty means none are written.
	Plots string
}

type experiment struct {
	name string
	run  func(Config) error
}

func experiments() []experiment {
	return []experiment{
		{"routing", runRouting},
		{"serving", runServing},
		{"admission", runAdmission},
		{"retries", runRetries},
		{"prompt_crashes", runPromptCrashes},
		{"reclaim", runReclaim},
		{"moves", runMoves},
		{"fleet", runFleet},
		{"capacity", runCapacity},
	}
}

// Names lists the experiments.
func Names() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs an experiment by name, or all of them.
func Run(name string, cfg Config) error {
	found := false
	for _, e := range experiments() {
		if name != "all" && name != e.name {
			continue
		}
		found = true
		if err := e.run(cfg); err != nil {
			return err
		}
	}
	if !found {
		return errorx.IllegalArgument.New("no experiment %q; there are %v", name, Names())
	}
	return nil
}

// epoch is the virtual time at which each simulation starts.
var epoch = time.UnixMilli(1_700_000_000_000)

// event is a function to be run at a virtual time. Events at the same time run
// in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// timeline runs events in the order of their virtual times.
type timeline struct {
	events eventHeap
	seq    int
}

func (t *timeline) schedule(at time.Time, run func(now time.Time)) {
	t.seq++
	heap.Push(&t.events, event{at: at, seq: t.seq, run: run})
}

func (t *timeline) runUntil(end time.Time) {
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(event)
		e.run(e.at)
	}
}

// newRandom returns the random source of one run.
func newRandom(seed uint64, run int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(run)+1)) }

// runParallel executes n independent runs on all cores and returns their
// results in the order of the runs.
func runParallel[T any](n int, run func(run int) T) []T {
	results := make([]T, n)
	var group errgroup.Group
	group.SetLimit(runtime.NumCPU())
	for i := range n {
		group.Go(func() error {
			results[i] = run(i)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// exponential returns an exponentially distributed duration with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// lognormal returns a lognormally distributed duration with the given median;
// sigma is the standard deviation of its logarithm.
func lognormal(r *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*r.NormFloat64()))
}

// quantile returns the q quantile of values, or zero if there are none. It
// sorts values.
func quantile[T int | float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// printTable prints rows of cells under a title, in aligned columns.
func printTable(out io.Writer, title string, rows ...[]string) {
	fmt.Fprintf(out, "\n%s\n", title)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			fmt.Fprintf(w, "%s\t", cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// cells formats a row and splits it into cells at each |.
func cells(format string, args ...any) []string {
	return strings.Split(fmt.Sprintf(format, args...), "|")
}
