package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile has the names on the platform's wire.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	var n map[string]string
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()
