// Package gateway is a reverse proxy that forwards calls to backend servers
// unchanged. It matches the route, checks the API key, charges the team, selects
// a server, retries calls where that is safe, and passes the complete response on.
// It knows no wire format of the platform: the Adapter serves callers and calls
// servers.
package gateway
