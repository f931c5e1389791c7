package record

// Prewarmed is which images some of a shard's machines hold. A machine is stored by the number
// at the end of its name, which is shorter than the name.
type Prewarmed struct {
	// MachinePrefix is the part of the names before the number.
	MachinePrefix string `msgpack:"p"`
	// NumberWidth is how many digits the number has in the names, with leading zeros.
	NumberWidth int              `msgpack:"w"`
	Images      []PrewarmedImage `msgpack:"i"`
}

// PrewarmedImage is an image and the machines that hold it.
type PrewarmedImage struct {
	//lint:ignore U1000 its tag stores the fields as a list, without names
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	// GB is the image's size.
	GB float64
	// Machines are the numbers in the machines' names.
	Machines []int
}
