#include "tarragonspar/rollout/plan.hpp"

#include <algorithm>

namespace tarragonspar::rollout {
namespace {

void enter(plan& target, stage next, time_point now) {
    target.at = next;
    target.stage_since = now;
}

time_point publish_by(const plan& of) {
    return of.started + of.length - std::min(of.options.publish_margin, of.length / 10);
}

/// Whether a suspicion has lasted too long to go on.
bool stays_suspected(plan& target, const judgement& judged, time_point now) {
    const auto counts = judged.suspected && judged.answers >= target.options.suspicion_answers;
    if (!counts) {
        target.suspected_since.reset();
    } else if (!target.suspected_since) {
        target.suspected_since = now;
    }
    return counts && now - *target.suspected_since >= target.options.suspicion_timeout;
}

void observe(plan& target, const plan_input& input, time_point now) {
    const auto& options = target.options;
    const auto observed = now - target.started;
    const auto latest = publish_by(target) - std::min(options.min_drain, target.length / 20);
    if (now > latest) {
        enter(target, stage::rolling_back, now);
    } else if (input.judged.value == verdict::good && input.target_servers > 0 &&
               to_seconds(observed) >= options.observe_share * to_seconds(target.length)) {
        enter(target, stage::completing, now);
    }
}

} // namespace

plan begin_plan(const record& of, time_point started, const plan_options& options) {
    plan made;
    made.options = options;
    made.length = of.what.duration;
    made.started = started;
    made.stage_since = started;
    if (of.state != phase::running) {
        made.at = stage::concluded;
        made.conclusion = of.state;
    }
    return made;
}

plan_output step(plan& target, const plan_input& input, time_point now) {
    if (input.replicated && *input.replicated != phase::running) {
        target.conclusion = input.replicated;
        target.at = stage::concluded;
    }
    if (target.conclusion) {
        plan_output out;
        out.grants = mode_without_leader(*target.conclusion);
        if (target.at != stage::concluded) {
            out.publish = target.conclusion;
        }
        return out;
    }
    const auto is_over = stays_suspected(target, input.judged, now) ||
                         input.judged.value == verdict::bad || input.abort;
    if (is_over && target.at != stage::rolling_back) {
        enter(target, stage::rolling_back, now);
    }
    // A suspicion that arises while the old servers drain, or the loss of all new servers, returns
    // the traffic to the old ones.
    if (target.at == stage::completing &&
        (input.judged.value != verdict::good || input.target_servers == 0)) {
        enter(target, stage::observing, now);
    }
    if (target.at == stage::observing) {
        observe(target, input, now);
    }
    const auto waited = now - target.stage_since;
    plan_output out;
    switch (target.at) {
    case stage::completing: {
        out.grants = mode::target_only;
        const auto drained = input.old_in_flight == 0 && input.confirmed == out.grants;
        if (drained || now >= publish_by(target)) {
            target.conclusion = phase::completed;
        }
        break;
    }
    case stage::rolling_back:
        out.grants = mode::baseline_only;
        if (input.confirmed == out.grants || waited >= target.options.confirm_timeout) {
            target.conclusion = phase::rolled_back;
        }
        break;
    default:
        out.grants = mode::canary;
    }
    out.publish = target.conclusion;
    return out;
}

mode mode_without_leader(phase known) noexcept {
    return known == phase::completed ? mode::target_only : mode::baseline_only;
}

} // namespace tarragonspar::rollout
