// Package pooler sends opaque requests to upstreams over pooled connections,
// with a limit for each upstream.
//
// Requests and responses pass unchanged. An error carries a verdict of package
// judge, which says whether the request may have run. A request is never sent
// again, unless no byte of it had been sent.
//
// An idle connection is checked before its use, so that a request does not go to
// a connection that the upstream has closed. A response with the ID of another
// request is dropped and the next one is read. A connection that has received
// more bytes than its response is not reused.
//
//	p := pooler.New(pooler.Config{IDHeader: "X-Request-Id", Now: time.Now})
//	response, err := p.Do(ctx, "10.0.0.7:8080", pooler.Request{...})
//	defer response.Close()
package pooler
