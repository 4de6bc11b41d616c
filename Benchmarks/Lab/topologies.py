"""Topologies of the demo's two deployments and of the fault runs."""

from pathlib import Path

from deployment import Pool, Topology

LAB_FOLDER = Path(__file__).resolve().parent


def documents(folder):
    return sorted((LAB_FOLDER / "Documents" / folder).glob("*.yaml"))


def prompts(name):
    text = (LAB_FOLDER / "Prompts" / name).read_text()
    return [line for line in text.splitlines() if line]


def ruta_clara(time_scale=0.1, engines=10, records_apps=10, **changes):
    data_centers = ["mvd-a", "mvd-b", "canelones-c"]
    return Topology(
        name="ruta-clara", region="uy-sur", data_centers=data_centers, latency_ms=1,
        pools=[
            Pool("scorer-lm", "engine", engines, data_centers, model="scorer",
                 checks_fencing=True, options={"time_scale": time_scale, "version": 1}),
            Pool("records-app", "plain", records_apps, data_centers),
        ],
        documents=documents("ruta-clara"), **changes)


def gulf_reach(time_scale=0.1, engines=10, dispatch_apps=5, **changes):
    data_centers = ["mobile-hall", "biloxi-hall", "pascagoula-dc", "gulfport-dc"]
    return Topology(
        name="gulf-reach", region="gulf-south", data_centers=data_centers, latency_ms=1.5,
        pools=[
            Pool("policy-llm", "engine", engines, data_centers, model="policy",
                 checks_fencing=False, options={"time_scale": time_scale, "version": 1}),
            Pool("dispatch-app", "plain", dispatch_apps, data_centers),
        ],
        documents=documents("gulf-reach"), **changes)


def fault_topology(crash_marker, seed):
    """Small, fast deployment: training and live requests share engines, dispatch runs apart."""
    data_centers = ["mvd-a", "mvd-b", "canelones-c"]
    engine_options = {"time_scale": 0.1, "version": 1, "crash_marker": crash_marker,
                      "crash_down_ms": 800, "load_ms": 500}
    return Topology(
        name=f"faults-{seed}", region="uy-sur", data_centers=data_centers, latency_ms=1,
        pools=[
            Pool("scorer-lm", "engine", 5, data_centers, model="scorer",
                 checks_fencing=seed % 2 == 0, options=engine_options),
            Pool("dispatch-app", "plain", 4, data_centers,
                 options={"work_ms": 20, "crash_down_ms": 500}),
        ],
        documents=[document for document in documents("ruta-clara") if document.stem != "records"]
        + [document for document in documents("gulf-reach") if document.stem == "dispatch"],
        entries=3, stand_in_seed=seed, instance_list_options={"lag_ms": 500})
