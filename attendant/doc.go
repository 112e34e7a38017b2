// Package attendant implements the process that runs beside endpoints. All requests pass through
// it: it queues and limits them, passes on orders, and attributes samples to weight versions. It is
// close enough to the endpoint to determine whether a request has run.
package attendant
