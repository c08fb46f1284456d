// Package trial runs a small deployment on loopback in one process, with
// stand-ins for the platform and the backend servers, and generates load on it.
// The demo and load commands and the end-to-end tests are built on it.
package trial
