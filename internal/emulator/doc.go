// Package emulator provides stand-ins for the systems that galenahitch calls:
// the platform with its cloud, model engines, plain services and the network
// between failure domains. Raw is a server that writes what no HTTP library sends. The
// package also has a load generator.
//
// Platform, Engine, Service and Link each have a Handler method:
//
//	engine := emulator.NewEngine(emulator.EngineConfig{Version: "v1"})
//	go http.Serve(listener, engine.Handler())
//
// Platform, Engine and Service receive their faults by POST /control/faults, and
// Link receives its cuts by POST /control/cuts. Engine and Service record each
// request that they run. GET /control/journal returns these records, so that a
// test can compare them with the verdicts that callers received.
//
// Stand-ins keep their state in memory. They make none of the decisions that
// are under test: a Service runs a repeated call again, for example.
package emulator
