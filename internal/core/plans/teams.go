package plans

// setTeams passes the configuration of the teams to the scheduler. d.mu must be held.
func (d *Driver) setTeams() {
	if d.Teams == nil {
		d.scheduler.SetTeams(nil)
		return
	}
	if teams, ok := d.Teams(); ok {
		d.scheduler.SetTeams(teams)
	}
}
