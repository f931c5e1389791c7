package message

// BlockingJobStatus is a job for which jobs here wait, how many, and what is known of it.
type BlockingJobStatus struct {
	Job        string `json:"job"`
	Dependents int    `json:"jobs"`
	State      string `json:"state"`
}

// MigrationStatus is a move under way: why, where to, and how long the replica is expected to
// be down.
type MigrationStatus struct {
	Job                 string  `json:"job"`
	Task                int     `json:"task"`
	From                string  `json:"from"`
	To                  string  `json:"to"`
	For                 string  `json:"for"`
	State               string  `json:"state"`
	ExpectedDownSeconds float64 `json:"expected_down_s"`
	GivenUpInSeconds    float64 `json:"given_up_in_s"`
}

// MigrationsStatus sums up what this owner has seen of moves.
type MigrationsStatus struct {
	Plans              int               `json:"plans"`
	Moved              int               `json:"moved"`
	Dropped            int               `json:"dropped"`
	LongestDownSeconds float64           `json:"longest_down_s"`
	InProgress         []MigrationStatus `json:"now,omitempty"`
}

// QueryStatus asks for a picture of this controller, for its operators.
type QueryStatus struct{ Reply uint64 }

func (QueryStatus) command() {}

// StatusReply is the picture.
type StatusReply struct {
	Reply          uint64              `json:"-"`
	Host           string              `json:"host"`
	Healthy        bool                `json:"healthy"`
	Leader         string              `json:"leader"`
	IsLeader       bool                `json:"is_leader"`
	IsShardLeader  bool                `json:"is_owner"`
	Teams          []TeamStatus        `json:"teams,omitempty"`
	Shards         []ShardStatus       `json:"shares,omitempty"`
	RemoteAttempts RemoteAttemptStatus `json:"wards"`
	// InternalErrors counts mistakes of the program's own, such as malformed requests.
	InternalErrors int `json:"defects"`
	// RejectedInputs counts what came from outside and made no sense.
	RejectedInputs int              `json:"bad_input"`
	Controllers    []string         `json:"nodes"`
	Workloads      []WorkloadStatus `json:"workloads,omitempty"`
	Machines       []MachineStatus  `json:"machines,omitempty"`
	// Pipelines are the jobs here that wait for others, and Behind those that hold most up.
	Pipelines    int                 `json:"pipelines,omitempty"`
	BlockingJobs []BlockingJobStatus `json:"behind,omitempty"`
	// Migrations is there where models are switched on.
	Migrations *MigrationsStatus `json:"moves,omitempty"`
	// GPUFreeCapacity are there while models are on.
	GPUFreeCapacity []GPUFreeCapacity `json:"gpu_rooms,omitempty"`
}

func (StatusReply) effect() {}

// TeamStatus is a team and who runs it; what it keeps busy is known to that controller.
type TeamStatus struct {
	Name    string  `json:"name"`
	Owner   string  `json:"owner,omitempty"`
	IsLocal bool    `json:"here,omitempty"`
	Ready   bool    `json:"ready,omitempty"`
	CPU     float64 `json:"cpu,omitempty"`
}

// ShardStatus is a share of the division and its holder.
type ShardStatus struct {
	Name          string `json:"name"`
	Leader        string `json:"holder"`
	Alive         bool   `json:"alive"`
	Teams         int    `json:"teams"`
	HoldsCatchAll bool   `json:"rest,omitempty"`
	Segments      int    `json:"lots"`
}

// RemoteAttemptStatus counts attempts of the jobs here on machines of others, and of others'
// jobs on the machines here.
type RemoteAttemptStatus struct {
	OnOthersMachines int `json:"afar"`
	OthersHere       int `json:"here"`
}

// WorkloadStatus sums up the open jobs of a workload.
type WorkloadStatus struct {
	Name           string  `json:"name"`
	Jobs           int     `json:"jobs"`
	Waiting        int     `json:"waiting"`
	Live           int     `json:"live"`
	Done           int     `json:"done"`
	TasksPerSecond float64 `json:"tasks_per_s"`
	RunToEstimate  float64 `json:"run_to_estimate"`
}

// GPUFreeCapacity is how the room on the machines of a kind with GPUs lies: how many machines are
// whole, how many GPUs are free, how many of these on machines that are not, and the most
// that one replica could have now.
type GPUFreeCapacity struct {
	MachineType        string  `json:"flavour"`
	Zone               string  `json:"zone"`
	Spot               bool    `json:"spot"`
	Machines           int     `json:"hosts"`
	EmptyMachines      int     `json:"whole"`
	FreeGPUs           float64 `json:"free_gpus"`
	FragmentedGPUs     float64 `json:"gpus_in_pieces"`
	LargestReplicaGPUs float64 `json:"largest_replica_gpus"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	ID               string  `json:"id"`
	MachineType      string  `json:"flavour"`
	Zone             string  `json:"zone"`
	Spot             bool    `json:"spot"`
	State            string  `json:"state"`
	Tasks            int     `json:"tasks"`
	UsedCPU          float64 `json:"used_cpu"`
	CPU              float64 `json:"cpu"`
	LastHeartbeatAge string  `json:"heard"`
}
