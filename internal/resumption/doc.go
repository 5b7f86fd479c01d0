// Package resumption decides at which software version of a service's targets a stream may be resumed.
//
// Texts of two versions don't fit together, so that a stream continues only at the version at which it began. A host knows that
// of the streams that began there, and reads it of others from the platform's log, into which hosts write it while a service
// has targets of several versions. The package does no input or output and never reads the clock.
package resumption
