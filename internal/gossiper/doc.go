// Package gossiper sends the state of this entry to its peers over UDP, several
// times a second, and receives theirs.
//
// Each message is complete, fits into one datagram, and its counters only grow. So
// lost, late and repeated messages do no harm, and a silent peer delays nobody.
// Reliable calls between entries are in package messenger.
//
//	g, err := gossiper.Listen(gossiper.Config[Message]{Address: "10.0.0.1:7600", Compose: compose, Handle: handle, ...})
//	err = g.Run(ctx)
package gossiper
