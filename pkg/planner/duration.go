package planner

import (
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time.Duration that is written like 580ms, 30s or 20m.
type Duration time.Duration

// UnmarshalYAML reads a duration.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return &Problem{Line: node.Line, Message: "not a duration: " + node.Value, Remedy: "write a number with a unit, such as 580ms, 30s or 20m"}
	}
	*d = Duration(parsed)
	return nil
}
