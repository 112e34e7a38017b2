package forward

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"wisteriacroft/directory"
)

// useQuota uses one request of a customer's quota, or returns the rejection of the request.
func (fo *Forwarder) useQuota(ctx context.Context, cu directory.Customer) *rejection {
	if cu.Quota <= 0 || fo.QuotaFunc == nil {
		return nil
	}
	retry, ok := fo.QuotaFunc(ctx, cu.Name, cu.Quota)
	if ok {
		return nil
	}
	fo.access().Refused(cu.Name)
	fo.Metrics.GetOrCreateCounter(`wisteriacroft_quota_refusals_total`).Inc()
	fo.Log.WithFields(logrus.Fields{
		customerField: cu.Name, "quota": cu.Quota, "retry-ms": retry.Milliseconds(),
	}).Info("customer has used its quota")
	return &rejection{reason: "quota is used up", retryAfter: retry, status: http.StatusTooManyRequests}
}
