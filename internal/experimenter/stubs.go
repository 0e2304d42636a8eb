package experimenter

func runAdmission(Config) error { return nil }
func runRetries(Config) error   { return nil }
func runReclaim(Config) error   { return nil }
func runFleet(Config) error     { return nil }
