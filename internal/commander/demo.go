package commander

type demoCommand struct {
	command
	Hold bool `long:"hold" description:"keep serving after the demonstration"`
}

// Execute shows the system on stand-ins.
func (c *demoCommand) Execute([]string) error { return nil }
