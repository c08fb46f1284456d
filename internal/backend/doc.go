// Package backend holds what is known of backend servers: the list that names
// them, their incarnations, the versions of models that they run, the calls in
// progress on them from all VMs, and failures that make one rest. It also
// chooses the server of a call.
package backend
