package planner

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one difference between two configurations.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Was  string `json:"was,omitempty"`
	Is   string `json:"is,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.Was == "":
		return fmt.Sprintf("+ %s %s %s", c.Kind, c.Name, c.Is)
	case c.Is == "":
		return fmt.Sprintf("- %s %s %s", c.Kind, c.Name, c.Was)
	default:
		return fmt.Sprintf("~ %s %s %s -> %s", c.Kind, c.Name, c.Was, c.Is)
	}
}

// Diff lists the differences between the configuration in force and a new one.
// Token digests are shortened.
func Diff(was, is Config) []Change {
	var changes []Change
	if was.Firm != is.Firm {
		changes = append(changes, Change{Kind: "firm", Name: "name", Was: was.Firm, Is: is.Firm})
	}
	changes = append(changes, diffBy("organisation", was.Organisations, is.Organisations, func(o Organisation) (string, any) {
		shortened := Organisation{Name: o.Name, Weight: o.Weight, TokenSHA256: shortDigest(o.TokenSHA256)}
		return o.Name, shortened
	})...)
	changes = append(changes, diffBy("deployment", was.Deployments, is.Deployments, func(d Deployment) (string, any) { return d.Name, d })...)
	changes = append(changes, diffBy("route", was.Routes, is.Routes, func(r Route) (string, any) { return r.Name, r })...)
	changes = append(changes, diffBy("fleet", []Fleet{was.Fleet}, []Fleet{is.Fleet}, func(f Fleet) (string, any) { return "bounds", f })...)
	return changes
}

// shownDigits is the number of digits of a token digest that a diff shows: enough
// to see that the token has changed.
const shownDigits = 6

func shortDigest(digest string) string { return digest[:min(shownDigits, len(digest))] + "..." }

func diffBy[T any](kind string, was, is []T, show func(T) (string, any)) []Change {
	before, after := render(was, show), render(is, show)
	names := make([]string, 0, len(before)+len(after))
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		names = append(names, name)
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range slices.Compact(names) {
		if before[name] != after[name] {
			changes = append(changes, Change{Kind: kind, Name: name, Was: before[name], Is: after[name]})
		}
	}
	return changes
}

func render[T any](list []T, show func(T) (string, any)) map[string]string {
	rendered := make(map[string]string, len(list))
	for _, item := range list {
		name, value := show(item)
		text, _ := json.Marshal(value)
		rendered[name] = string(text)
	}
	return rendered
}
