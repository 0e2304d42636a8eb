// Package gossiper tells the other entries, several times a second, what this
// one knows and does.
//
// The idea: each message is the whole of what the others need, small enough for
// one datagram, and its counts only grow. So a lost, late or doubled message
// does no harm, and a silent peer can't hold anything up. Reliable exchanges
// between entries are in package messenger.
//
//	g, err := gossiper.Listen(gossiper.Config{Address: "10.0.0.1:7600", ...})
//	g.Peers([]string{"10.0.0.2:7600"})
//	err = g.Run(ctx)
package gossiper
