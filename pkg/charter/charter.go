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
	// Disallowed is the type of errors for events that a state does not accept.
	Disallowed = namespace.NewType("disallowed")
	// Invalid is the type of errors for charts that can't be decoded or name
	// undefined states.
	Invalid = namespace.NewType("invalid")
)

// Chart is a state chart: states, events and transitions. Parse creates one.
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

// Parse decodes a chart from YAML and checks that the initial state and the
// target of each transition are defined.
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

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// Final reports whether s is a final state.
func (c *Chart) Final(s State) bool { return slices.Contains(c.final, s) }

// Next returns the state after event in state s. If s does not accept the event,
// it returns s and an error of type Disallowed.
func (c *Chart) Next(s State, event Event) (State, error) {
	next, ok := c.states[s][event]
	if !ok {
		return s, Disallowed.New("chart %s: %s does not allow %s", c.name, s, event)
	}
	return next, nil
}

// Request returns the chart of a request.
var Request = embeddedChart("request")

// Move returns the chart of a move, the rollout of a version.
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
