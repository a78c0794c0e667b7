package queues

import "context"

// Load reads the configuration once, for commands that do not follow it.
func (f *Follower) Load(ctx context.Context) error {
	config, _, err := f.Source.Config(ctx, 0, 0)
	if err != nil {
		return err
	}
	f.apply(ctx, config)
	return nil
}
