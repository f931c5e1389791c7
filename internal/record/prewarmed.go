package record

// Prewarmed is what some of the machines hold. Machines are kept by the number
// at the end of their names, which is short.
type Prewarmed struct {
	MachinePrefix string           `msgpack:"p"`
	NumberWidth   int              `msgpack:"w"`
	Images        []PrewarmedImage `msgpack:"i"`
}

type PrewarmedImage struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	GB       float64
	Machines []int
}
