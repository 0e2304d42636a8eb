package resolver_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/resolver"
)

func config(routes ...resolver.Route) resolver.Config {
	return resolver.Config{
		Version:     3,
		Routes:      routes,
		Deployments: []resolver.Deployment{{Name: "model"}, {Name: "plain"}},
		Organisations: []resolver.Organisation{
			{Name: "luna", Keys: []string{"k1", "k2"}, QuotaInTokens: true, DefaultTokens: 200, Rate: 10},
			{Name: "sol", Keys: []string{"k3"}},
		},
	}
}

func route(name, host, prefix string) resolver.Route {
	return resolver.Route{Name: name, Host: host, Prefix: prefix, Shares: []resolver.Share{{Deployment: "model"}}}
}

func TestLongestPrefixOfTheHost(t *testing.T) {
	r, err := resolver.New(config(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/")))
	require.NoError(t, err)
	for path, want := range map[string]string{"/x/": "short", "/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long"} {
		got, ok := r.Route("A.example:8080", path)
		require.True(t, ok)
		require.Equal(t, want, got.Name, path)
	}
	for _, path := range []string{"/", "/x", "/y/x/", ""} {
		_, ok := r.Route("a.example", path)
		require.False(t, ok, path)
	}
	_, ok := r.Route("c.example", "/x/")
	require.False(t, ok)
}

func TestKeysAndCosts(t *testing.T) {
	r, err := resolver.New(config(route("r", "a.example", "/x/")))
	require.NoError(t, err)
	luna, ok := r.Organisation("k2")
	require.True(t, ok)
	require.Equal(t, "luna", luna.Name)
	require.InDelta(t, 1540, luna.Cost(1540), 0)
	require.InDelta(t, 200, luna.Cost(0), 0)
	sol, ok := r.Organisation("k3")
	require.True(t, ok)
	require.InDelta(t, 1, sol.Cost(1540), 0)
	_, ok = r.Organisation("")
	require.False(t, ok)
}

func TestInvalidConfigurationsAreRefused(t *testing.T) {
	for want, bad := range map[string]resolver.Route{
		"does not begin and end with a slash": route("r", "a", "/x"),
		"has no deployment":                   {Name: "r", Host: "a", Prefix: "/"},
		"is not defined":                      {Name: "r", Host: "a", Prefix: "/", Shares: []resolver.Share{{Deployment: "gone"}}},
	} {
		_, err := resolver.New(config(bad))
		require.ErrorContains(t, err, want)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	r := resolver.Route{Shares: []resolver.Share{{Deployment: "a", Weight: 90}, {Deployment: "b", Weight: 10}}}
	require.Equal(t, "a", r.PickDeployment(0))
	require.Equal(t, "a", r.PickDeployment(0.899))
	require.Equal(t, "b", r.PickDeployment(0.9))
	require.Equal(t, "b", r.PickDeployment(0.999))
}

func TestRelativePriority(t *testing.T) {
	routes := []resolver.Route{route("a", "a.example", "/a/"), route("b", "a.example", "/b/"), route("c", "b.example", "/c/")}
	routes[0].Priority, routes[1].Priority, routes[2].Priority = 4, 2, 3
	r, err := resolver.New(config(routes...))
	require.NoError(t, err)
	require.InDelta(t, 1, r.RelativePriority(routes[0]), 0)
	require.InDelta(t, 0, r.RelativePriority(routes[1]), 0)
	require.InDelta(t, 0.5, r.RelativePriority(routes[2]), 0)
	same, err := resolver.New(config(routes[1]))
	require.NoError(t, err)
	require.InDelta(t, 0, same.RelativePriority(routes[1]), 0)
}
