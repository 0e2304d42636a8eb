package planner

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Problem is one mistake in the answers.
type Problem struct {
	Line    int    `json:"line"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error returns the problem in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("line %d: %s; remedy: %s", p.Line, p.Message, p.Remedy)
}

const (
	maxAnswersBytes = 1 << 20
	maxAnswerWithin = 10 * time.Minute
	maxFinishWithin = 24 * time.Hour
	maxMoveDuration = 7 * 24 * time.Hour
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	linePattern  = regexp.MustCompile(`line (\d+): (.*)`)
)

// Check reads answers and returns every mistake in them. The answers are usable
// only if there are no mistakes.
func Check(source []byte) (Answers, []*Problem) {
	var answers Answers
	if len(source) > maxAnswersBytes {
		return answers, []*Problem{{Line: 1, Message: "the file is too large", Remedy: "keep it below 1 MiB"}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(source, &root); err != nil {
		return answers, decodeProblems(err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	if err := decoder.Decode(&answers); err != nil {
		if errors.Is(err, io.EOF) {
			return answers, []*Problem{{Line: 1, Message: "the file is empty", Remedy: "start from one of the examples"}}
		}
		return answers, decodeProblems(err)
	}
	c := checker{root: &root}
	c.answers(answers)
	return answers, c.problems
}

func decodeProblems(err error) []*Problem {
	var problem *Problem
	if errors.As(err, &problem) {
		return []*Problem{problem}
	}
	var found []*Problem
	for _, line := range strings.Split(err.Error(), "\n") {
		match := linePattern.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		number, _ := strconv.Atoi(match[1])
		found = append(found, &Problem{Line: number, Message: match[2], Remedy: "correct the spelling or remove it; OPERATING.md lists all questions"})
	}
	if len(found) == 0 {
		found = append(found, &Problem{Line: 1, Message: err.Error(), Remedy: "write the answers as YAML"})
	}
	return found
}

// checker collects the problems of one file.
type checker struct {
	root     *yaml.Node
	problems []*Problem
}

func (c *checker) add(path string, remedy, format string, args ...any) {
	c.problems = append(c.problems, &Problem{Line: c.line(path), Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// line returns the line of a path such as requests.2.urgency, or of its longest
// prefix that the file contains.
func (c *checker) line(path string) int {
	node := c.root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, part := range strings.Split(path, ".") {
		next, at := childNode(node, part)
		if next == nil {
			return line
		}
		node, line = next, at
	}
	return line
}

func childNode(node *yaml.Node, part string) (*yaml.Node, int) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				return node.Content[i+1], node.Content[i].Line
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(part)
		if err == nil && index < len(node.Content) {
			return node.Content[index], node.Content[index].Line
		}
	}
	return nil, 0
}

func (c *checker) answers(a Answers) {
	if strings.TrimSpace(a.Firm) == "" {
		c.add("firm", "name the firm", "firm is missing")
	}
	if len(a.FailureDomains) == 0 {
		c.add("failure_domains", "list the failure domains that the VMs run in", "no failure domain")
	}
	c.unique("failure_domains", a.FailureDomains, "")
	c.organisations(a.Organisations)
	c.deployments(a.Deployments)
	c.requests(a)
	c.moves(a.Moves)
	if a.Targets.ReclaimableShare < 0 || a.Targets.ReclaimableShare > 1 {
		c.add("targets.reclaimable_share", "give a share between 0 and 1", "reclaimable_share is %v", a.Targets.ReclaimableShare)
	}
	if a.Targets.PricePerHour < 0 {
		c.add("targets.price_per_hour", "give 0 for no limit", "price_per_hour is negative")
	}
}

func (c *checker) unique(list string, names []string, field string) {
	seen := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("%s.%d%s", list, i, field)
		if !namePattern.MatchString(name) {
			c.add(path, "use small letters, digits, - and _, at most 63", "%q can't be a name", name)
		}
		if seen[name] {
			c.add(path, "give each its own name", "%q is there twice", name)
		}
		seen[name] = true
	}
}

func (c *checker) organisations(list []OrganisationAnswer) {
	if len(list) == 0 {
		c.add("organisations", "list the organisations whose callers are served", "no organisation")
	}
	names := make([]string, 0, len(list))
	tokens := map[string]bool{}
	for i, o := range list {
		names = append(names, o.Name)
		path := fmt.Sprintf("organisations.%d", i)
		if !slices.Contains([]string{"", "small", "large"}, o.Size) {
			c.add(path+".size", "answer small or large", "size %q is not known", o.Size)
		}
		if !tokenPattern.MatchString(o.TokenSHA256) {
			c.add(path+".token_sha256", "give the token's SHA-256 as 64 hex digits (printf %s TOKEN | sha256sum)", "organisation %q has no usable token digest", o.Name)
		}
		if tokens[o.TokenSHA256] {
			c.add(path+".token_sha256", "give each organisation its own token", "two organisations share a token")
		}
		tokens[o.TokenSHA256] = true
	}
	c.unique("organisations", names, ".name")
}

func (c *checker) deployments(list []DeploymentAnswer) {
	if len(list) == 0 {
		c.add("deployments", "list the kinds of upstreams", "no deployment")
	}
	names := make([]string, 0, len(list))
	for i, d := range list {
		names = append(names, d.Name)
		path := fmt.Sprintf("deployments.%d", i)
		if d.Kind != string(KindModel) && d.Kind != string(KindService) {
			c.add(path+".kind", "answer model or service", "kind %q is not known", d.Kind)
		}
		if d.Version == "" {
			c.add(path+".version", "name the version that serves now", "deployment %q has no version", d.Name)
		}
	}
	c.unique("deployments", names, ".name")
}

func (c *checker) requests(a Answers) {
	if len(a.Requests) == 0 {
		c.add("requests", "list the kinds of requests", "no request")
	}
	names := make([]string, 0, len(a.Requests))
	for i, r := range a.Requests {
		names = append(names, r.Name)
		path := fmt.Sprintf("requests.%d", i)
		at := slices.IndexFunc(a.Deployments, func(d DeploymentAnswer) bool { return d.Name == r.Deployment })
		if at < 0 {
			c.add(path+".deployment", "name one of the deployments above", "deployment %q is not known", r.Deployment)
		}
		if at >= 0 && a.Deployments[at].Kind == string(KindModel) && r.Repeatable != nil && !*r.Repeatable {
			c.add(path+".may_be_repeated", "answer true, or serve it from a deployment of kind service", "a model's answer that may not be repeated can't be resumed after a reclaim")
		}
		if !slices.Contains([]string{"high", "normal", "can_wait"}, r.Urgency) {
			c.add(path+".urgency", "answer high, normal or can_wait", "urgency %q is not known", r.Urgency)
		}
		c.checkDuration(path+".answer_within", time.Duration(r.AnswerWithin), maxAnswerWithin)
		c.checkDuration(path+".finish_within", time.Duration(r.FinishWithin), maxFinishWithin)
		if r.FinishWithin > 0 && r.FinishWithin < r.AnswerWithin {
			c.add(path+".finish_within", "make it at least answer_within", "finish_within is shorter than answer_within")
		}
	}
	c.unique("requests", names, ".name")
}

func (c *checker) checkDuration(path string, d, limit time.Duration) {
	if d <= 0 || d > limit {
		c.add(path, fmt.Sprintf("give a time between 1ms and %s", limit), "%s is %s", path, d)
	}
}

func (c *checker) moves(m MoveAnswer) {
	c.checkDuration("moves.finish_within", time.Duration(m.FinishWithin), maxMoveDuration)
	if m.WatchAfter < 0 {
		c.add("moves.watch_after", "give 0 or more", "watch_after is negative")
	}
	if !slices.Contains([]string{"", "low", "normal", "high"}, m.Caution) {
		c.add("moves.caution", "answer low, normal or high", "caution %q is not known", m.Caution)
	}
}
