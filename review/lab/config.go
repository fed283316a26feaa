package lab

import (
	_ "embed" // for the files below
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// settings is the settings file of a VM, with verbs for what differs.
//
//go:embed settings.toml
var settings string

// names are the names of the platform's protocols, by what they mean here.
var names = func() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}()

// Route is a route of the operator's config.
type Route struct {
	Host, Service string
	// Kind is the kind of the route's requests; empty is "primary".
	Kind string
	// TimeoutMS bounds a statement; zero is 1,000. MaxAgeMS is how old reads may be.
	TimeoutMS, MaxAgeMS int
}

// Tenant is a tenant of the operator's config.
type Tenant struct {
	Name string
	Keys []string
}

// Configuration is a version of the operator's config.
type Configuration struct {
	Version  int
	Services []string
	Routes   []Route
	Tenants  []Tenant
}

// spec returns the config as the operator writes it.
func (c Configuration) spec() map[string]any {
	var services, routes, tenants []any
	for _, s := range c.Services {
		services = append(services, map[string]any{"name": s, names["connections"]: 22, names["confirmations"]: 1})
	}
	for _, r := range c.Routes {
		routes = append(routes, r.spec())
	}
	for _, t := range c.Tenants {
		keys := append([]string{}, t.Keys...)
		tenants = append(tenants, map[string]any{"name": t.Name, names["keys"]: keys, "priority": 1, names["rate"]: 300, names["burst"]: 300})
	}
	spec := map[string]any{
		"version": c.Version, "services": services, "routes": routes, "limits": map[string]any{names["transaction-idle"]: 3000},
	}
	if len(tenants) > 0 {
		spec["tenants"] = tenants
	}
	return spec
}

func (r Route) spec() map[string]any {
	if r.Kind == "" {
		r.Kind = "primary"
	}
	if r.TimeoutMS == 0 {
		r.TimeoutMS = 1000
	}
	spec := map[string]any{
		"name": "r-" + r.Host, "host": r.Host, names["route-kind"]: r.Kind, "timeout_ms": r.TimeoutMS, names["target"]: 200,
		"priority": 0, "service": r.Service, "max_attempts": 2, names["open-to-all"]: false,
	}
	if r.MaxAgeMS > 0 {
		spec[names["max-age"]] = r.MaxAgeMS
	}
	return spec
}
