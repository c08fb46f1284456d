// Package gateway forwards calls to backend servers as they are: it finds the
// route, checks the key, charges the team, chooses a server, repeats what may
// be repeated, and passes the whole answer on. It knows no wire format of the
// platform; the adapter that serves callers and calls servers does.
package gateway
