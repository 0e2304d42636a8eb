package resolver

import (
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("resolver")
	// Invalid is the type of errors for an invalid configuration.
	Invalid = namespace.NewType("invalid")
)

// Resolver is an indexed Config. It is safe for concurrent use.
type Resolver struct {
	cfg                Config
	routesByHost       map[string][]Route
	organisationsByKey map[string]*Organisation
	deployments        map[string]*Deployment
	// minPriority and maxPriority are the bounds of the priorities of all routes.
	minPriority, maxPriority int
}

// New indexes a configuration. It returns an error of type Invalid if a route
// has a prefix that does not begin and end with a slash, has no deployment, or
// names a deployment that is not defined.
func New(cfg Config) (*Resolver, error) {
	r := &Resolver{
		cfg:                cfg,
		routesByHost:       map[string][]Route{},
		organisationsByKey: map[string]*Organisation{},
		deployments:        map[string]*Deployment{},
	}
	for i := range cfg.Deployments {
		r.deployments[cfg.Deployments[i].Name] = &cfg.Deployments[i]
	}
	for _, route := range cfg.Routes {
		if err := r.validate(route); err != nil {
			return nil, err
		}
		r.routesByHost[route.Host] = append(r.routesByHost[route.Host], route)
		if len(r.routesByHost) == 1 && len(r.routesByHost[route.Host]) == 1 {
			r.minPriority, r.maxPriority = route.Priority, route.Priority
		}
		r.minPriority, r.maxPriority = min(r.minPriority, route.Priority), max(r.maxPriority, route.Priority)
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			r.organisationsByKey[key] = &cfg.Organisations[i]
		}
	}
	return r, nil
}

func (r *Resolver) validate(route Route) error {
	switch {
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return Invalid.New("route %s: prefix %q does not begin and end with a slash", route.Name, route.Prefix)
	case len(route.Shares) == 0:
		return Invalid.New("route %s has no deployment", route.Name)
	}
	for _, share := range route.Shares {
		if r.deployments[share.Deployment] == nil {
			return Invalid.New("route %s: deployment %q is not defined", route.Name, share.Deployment)
		}
	}
	return nil
}

// Version returns the configuration's version.
func (r *Resolver) Version() uint64 { return r.cfg.Version }

// Limits returns the limits for callers.
func (r *Resolver) Limits() Limits { return r.cfg.Limits }

// Route returns the route with the longest prefix of path among those of the
// host. The host may have a port.
func (r *Resolver) Route(host, path string) (Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Organisation returns the organisation that has an API key.
func (r *Resolver) Organisation(key string) (*Organisation, bool) {
	org, ok := r.organisationsByKey[key]
	return org, ok
}

// NeedsKeys reports whether requests need the API key of an organisation.
func (r *Resolver) NeedsKeys() bool { return len(r.cfg.Organisations) > 0 }

// Deployment returns a deployment by name.
func (r *Resolver) Deployment(name string) (*Deployment, bool) {
	d, ok := r.deployments[name]
	return d, ok
}

// Deployments returns all deployments.
func (r *Resolver) Deployments() []Deployment { return r.cfg.Deployments }

// RelativePriority returns the priority of a route, scaled to 0 for the most
// urgent route and 1 for the least urgent one.
func (r *Resolver) RelativePriority(route Route) float64 {
	lowest, highest := r.minPriority, r.maxPriority
	if highest <= lowest {
		return 0
	}
	return float64(route.Priority-lowest) / float64(highest-lowest)
}

// PickDeployment returns a deployment of the route, chosen by the weights of the
// shares; fraction is uniform in [0, 1).
func (r Route) PickDeployment(fraction float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return r.Shares[0].Deployment
	}
	remaining := fraction * total
	for _, share := range r.Shares {
		if remaining -= share.Weight; remaining < 0 {
			return share.Deployment
		}
	}
	return r.Shares[len(r.Shares)-1].Deployment
}

// Cost returns the cost of a request in units of the organisation's quota. The
// parameter tokens is zero for a request without token counts.
func (o Organisation) Cost(tokens int) float64 {
	switch {
	case !o.QuotaInTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(o.DefaultTokens)
	}
}
