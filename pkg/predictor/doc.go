// Package predictor learns the relative speed of each upstream from its responses and
// predicts the time to the first event of a request.
//
// The logarithm of a measured time is modelled as the sum of a term of its class, which all
// upstreams of the deployment share, and the slowness of the upstream. The class is the kind
// of time (first event, pause, whole response), the prompt tokens to read and the load when
// the request was sent. Slowness has a lasting part and a part of the last moments.
//
//	p := predictor.New()
//	p.RecordFirstEvent(now, "u1", load, request, 420*time.Millisecond)
//	prediction := p.Predict(now, "u1", load, request)
//
// A Predictor is not safe for concurrent use.
package predictor
