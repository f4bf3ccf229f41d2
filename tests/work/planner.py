"""What a planner gets that knows all arrivals: a greedy use of slot time."""

from citronvalve.policy import enginepace

#: Length in ms of the intervals that slots are counted in.
_BUCKET = 50


def best_worth(calls, spec, model_by_name, slots):
    """Return the worth of the calls that can be in time.

    The calls with the most worth for a slot's time get theirs first, within
    their objective.

    :param calls: all calls.
    :param spec: the engine's figures.
    :param model_by_name: the models.
    :param slots: those of all replicas, by model.
    """
    used = {}
    total = 0.0
    jobs = []
    for call in calls:
        factor = model_by_name[call.kind.model].time_factor
        pace = enginepace.EnginePace(spec, factor)
        answer = call.events * spec.steps_per_pass
        forecast = pace.forecast(spec.slots - 1, call.prompt, answer)
        wait = max(0.0, call.kind.objective - forecast.first)
        jobs.append((call.kind.worth / forecast.whole, call, forecast, wait))
    jobs.sort(key=lambda job: -job[0])
    for _, call, forecast, wait in jobs:
        length = max(1, round(forecast.whole / _BUCKET))
        first = call.arrived_at // _BUCKET
        for start in range(first, first + int(wait // _BUCKET) + 1):
            keys = [(call.kind.model, start + n) for n in range(length)]
            if all(used.get(k, 0) < slots[call.kind.model] for k in keys):
                for key in keys:
                    used[key] = used.get(key, 0) + 1
                total += call.kind.worth
                break
    return total
