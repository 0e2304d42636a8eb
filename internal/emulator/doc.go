// Package emulator holds small stand-ins for the systems that galenahitch
// meets: the platform, model engines, plain services and the network between
// failure domains.
//
// Each stand-in is an http.Handler with faults that are switched at run time
// by POST /control/faults, and each keeps a journal of what it really ran, so
// that a test can compare callers' verdicts with the truth:
//
//	engine := emulator.NewEngine(emulator.EngineConfig{Version: "v1"})
//	go http.Serve(listener, engine.Handler())
//
// Stand-ins keep their state in memory and make no decision that the system
// under test should make.
package emulator
