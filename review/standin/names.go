package main

import (
	_ "embed"
	"encoding/json"
)

// names are the names on the platform's wire, which Go files outside the adapter do not have.
var names struct {
	Boot      string `json:"boot"`
	RequestID string `json:"request_id"`
	Deadline  string `json:"deadline"`
	Instance  string `json:"instance"`
	Seal      string `json:"seal"`
	NotRun    string `json:"not_run"`
	Holder    string `json:"holder"`
	Fence     string `json:"fence"`
	RowsGet   string `json:"rows_get"`
	RowsFeed  string `json:"rows_feed"`
	RowsTx    string `json:"rows_tx"`
	Expect    string `json:"expect"`
	Cold      string `json:"cold"`
	LastEvent string `json:"last_event"`
}

//go:embed names.json
var namesJSON []byte

func init() {
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		panic(err)
	}
}
