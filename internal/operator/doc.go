// Package operator is what the operators' commands do: read the declared
// configuration, change it by compare and set, and watch it come into force.
package operator
