package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"wisteriacroft/directory"
	"wisteriacroft/keyvalue"
	"wisteriacroft/platform"
	"wisteriacroft/step"
)

// configuration reads the configuration in force.
func configuration(ctx context.Context, cl *keyvalue.Client) (*directory.Configuration, error) {
	so := platform.Source()
	it, err := cl.Get(ctx, so.ConfigurationKey)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	return so.DecodeConfigurationFunc(it.Value)
}

// missingCustomer returns why a customer can't be held, or "" if it can.
func missingCustomer(ctx context.Context, cl *keyvalue.Client, name string) (string, error) {
	co, err := configuration(ctx, cl)
	if err != nil {
		return "", err
	}
	for _, cu := range co.Customers {
		if cu.Name == name {
			return "", nil
		}
	}
	return fmt.Sprintf("is none of the %d customers of the configuration in force, version %d", len(co.Customers), co.Version), nil
}

// missingService returns why a service's orders can't be held, or "" if they can.
func missingService(ctx context.Context, cl *keyvalue.Client, name string) (string, error) {
	co, err := configuration(ctx, cl)
	if err != nil {
		return "", err
	}
	switch se, ok := co.Service(name); {
	case !ok:
		return fmt.Sprintf("is none of the %d services of the configuration in force, version %d", len(co.Services), co.Version), nil
	case se.Scale == nil:
		return fmt.Sprintf("has no engines that may be ordered by the configuration in force, version %d", co.Version), nil
	default:
		return "", nil
	}
}

// missingEndpoint returns why an endpoint can't be drained, or "" if it can.
func missingEndpoint(ctx context.Context, cl *keyvalue.Client, name string) (string, error) {
	so := platform.Source()
	ch, err := cl.Scan(ctx, so.EndpointPrefix)
	if err != nil {
		return "", errors.Wrap(err, "endpoints")
	}
	for _, it := range ch.Items {
		id := strings.TrimPrefix(it.Key, so.EndpointPrefix)
		en, err := so.DecodeEndpointFunc(id, it.Value)
		if id == name || err == nil && en.Address == name {
			return "", nil
		}
	}
	return fmt.Sprintf("is neither the ID nor the address of any of %d endpoints", len(ch.Items)), nil
}

// missingStep returns why a step can't be held, or "" if it can.
func missingStep(ctx context.Context, cl *keyvalue.Client, id string) (string, error) {
	st, err := (&step.Store{Client: cl}).Load(ctx, id)
	switch {
	case errors.Is(err, step.ErrUnknownStep):
		return "is no step that was accepted; `load` and the log's `step accepted` lines name steps", nil
	case err != nil:
		return "", err
	case st.Cut:
		return "has ended", nil
	default:
		return "", nil
	}
}
