// Package platform is the client of the platform's log service and host list.
package platform
