// Package standin contains the code that the stand-ins for the systems around the fleet share: an HTTP server with fault
// injection, connections that can go silent, and a client for its admin paths.
package standin
