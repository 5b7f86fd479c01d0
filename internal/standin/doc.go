// Package standin holds what the stand-ins for the platform's systems share: a server on loopback, switches for faults
// and connections that can go silent.
package standin
