package planner

// Answers is the questionnaire as a team fills it in.
type Answers struct {
	Firm           string               `yaml:"firm"`
	Trade          string               `yaml:"trade"`
	Region         string               `yaml:"region"`
	FailureDomains []string             `yaml:"failure_domains"`
	Organisations  []OrganisationAnswer `yaml:"organisations"`
	Deployments    []DeploymentAnswer   `yaml:"deployments"`
	Requests       []RequestAnswer      `yaml:"requests"`
	Moves          MoveAnswer           `yaml:"moves"`
	Targets        TargetAnswer         `yaml:"targets"`
}

// OrganisationAnswer is one organisation whose callers are served.
type OrganisationAnswer struct {
	Name string `yaml:"name"`
	// Size is small or large; a large organisation has a larger weight.
	Size string `yaml:"size"`
	// TokenSHA256 is the hex SHA-256 of the organisation's bearer token.
	TokenSHA256 string `yaml:"token_sha256"`
}

// DeploymentAnswer is one kind of upstream.
type DeploymentAnswer struct {
	Name string `yaml:"name"`
	// Kind is model or service.
	Kind string `yaml:"kind"`
	// Version is the version that serves before the first move.
	Version string `yaml:"version"`
	// ChecksFence says whether its upstreams refuse orders with an old fencing
	// token.
	ChecksFence bool `yaml:"checks_fence"`
}

// RequestAnswer is one kind of request.
type RequestAnswer struct {
	Name       string `yaml:"name"`
	Deployment string `yaml:"deployment"`
	// Repeatable says whether the request may be executed more than once. No
	// answer means no.
	Repeatable *bool `yaml:"may_be_repeated"`
	// Urgency is high, normal or can_wait.
	Urgency string `yaml:"urgency"`
	// AnswerWithin is the target time to the first part of the response.
	AnswerWithin Duration `yaml:"answer_within"`
	// FinishWithin is the longest time to the end of the response.
	FinishWithin Duration `yaml:"finish_within"`
}

// MoveAnswer says how new versions are rolled out.
type MoveAnswer struct {
	// FinishWithin is the time by which all traffic must have moved.
	FinishWithin Duration `yaml:"finish_within"`
	// WatchAfter is how long the old version is kept after the move.
	WatchAfter Duration `yaml:"watch_after"`
	// Caution is low, normal or high: how much a wrong response costs.
	Caution string `yaml:"caution"`
}

// TargetAnswer holds the firm's targets for the fleet.
type TargetAnswer struct {
	// ReclaimableShare is the largest share of reclaimable VMs, 0 to 1.
	ReclaimableShare float64 `yaml:"reclaimable_share"`
	// PricePerHour is the highest price of the fleet, 0 for no limit.
	PricePerHour float64 `yaml:"price_per_hour"`
	// ProvisionsVMs says whether the system may start and stop upstreams' VMs.
	ProvisionsVMs bool `yaml:"buys_vms"`
}
