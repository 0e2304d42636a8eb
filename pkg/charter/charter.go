package charter

import (
	"bytes"
	"embed"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"gopkg.in/yaml.v3"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

//go:embed charts/*.yaml
var chartFiles embed.FS

var (
	namespace = errorx.NewNamespace("charter")
	// Disallowed is the type of errors for events that a chart does not show.
	Disallowed = namespace.NewType("disallowed")
	// Invalid is the type of errors for charts that can't be used.
	Invalid = namespace.NewType("invalid")
)

// Chart is one state chart. Parse makes one.
type Chart struct {
	name    string
	initial State
	final   []State
	states  map[State]map[Event]State
}

type chartFile struct {
	Name    string                    `yaml:"name"`
	Initial State                     `yaml:"initial"`
	Final   []State                   `yaml:"final"`
	States  map[State]map[Event]State `yaml:"states"`
}

// Parse reads a chart from YAML and checks that each state it leads to exists.
func Parse(source []byte) (*Chart, error) {
	var file chartFile
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return nil, Invalid.Wrap(err, "decode chart")
	}
	c := &Chart{name: file.Name, initial: file.Initial, final: file.Final, states: file.States}
	if !c.hasState(c.initial) {
		return nil, Invalid.New("chart %s: initial state %q is not defined", c.name, c.initial)
	}
	for from, events := range c.states {
		for event, to := range events {
			if !c.hasState(to) {
				return nil, Invalid.New("chart %s: %s on %s leads to undefined state %q", c.name, from, event, to)
			}
		}
	}
	return c, nil
}

func (c *Chart) hasState(s State) bool {
	_, ok := c.states[s]
	return ok || slices.Contains(c.final, s)
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which everything starts.
func (c *Chart) Initial() State { return c.initial }

// Final reports whether no event leads out of s.
func (c *Chart) Final(s State) bool { return slices.Contains(c.final, s) }

// Next returns the state that event leads to from s.
func (c *Chart) Next(s State, event Event) (State, error) {
	next, ok := c.states[s][event]
	if !ok {
		return s, Disallowed.New("chart %s: %s does not allow %s", c.name, s, event)
	}
	return next, nil
}

// Request returns the chart of a request.
var Request = embeddedChart("request")

// Move returns the chart of a version move.
var Move = embeddedChart("move")

// Upstream returns the chart of an upstream.
var Upstream = embeddedChart("upstream")

func embeddedChart(name string) func() *Chart {
	return sync.OnceValue(func() *Chart {
		source, err := chartFiles.ReadFile("charts/" + name + ".yaml")
		if err != nil {
			panic(err)
		}
		c, err := Parse(source)
		if err != nil {
			panic(err)
		}
		return c
	})
}
