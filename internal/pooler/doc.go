// Package pooler sends opaque requests to upstreams over connections that it
// keeps and bounds.
//
// The idea: a request and its answer travel as they are; what is known about
// the execution of a request is kept exactly. A kept connection is looked at
// before it is used, so that a request does not meet one that the upstream has
// closed; an answer that names another request is dropped, and the next one is
// read; a connection that holds more bytes than its answer is not used again.
// Nothing is ever sent a second time here, unless no byte of it had left.
//
//	p := pooler.New(pooler.Config{IDHeader: "X-Request-Id"})
//	answer, err := p.Do(ctx, "10.0.0.7:8080", pooler.Request{...})
//	defer answer.Close()
//
// Errors carry a verdict of package judge.
package pooler
