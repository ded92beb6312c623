#include "support/formats.h"

#include "config_codec.h"
#include "core/batch/codec.h"
#include "core/commit/claims.h"
#include "core/commit/control.h"
#include "core/scheduling/job_record.h"
#include "forwarding_codec.h"
#include "job_codec.h"
#include "keys.h"
#include "net/socket.h"
#include "wire/codec.h"

#include <sstream>

namespace bergamotwick::test {

namespace {

using batch::milliseconds;

template<class Value, Result<Value> (*Decode)(std::string_view)>
Result<std::string> rewritePayload(std::string_view bytes)
{
    BOOST_LEAF_AUTO(value, Decode(bytes));
    return batch::encode(value);
}

#if __has_include("core/batch/folded_record.h")
Result<std::string> rewriteLongJob(std::string_view bytes)
{
    BOOST_LEAF_AUTO(job, batch::decodeSubmission(bytes));
    return batch::encodeLong(job);
}

Result<std::string> rewriteFoldedProgress(std::string_view bytes)
{
    BOOST_LEAF_AUTO(progress, batch::decodeProgress(bytes));
    return batch::encode(batch::fold(progress));
}
#endif

Result<std::string> rewriteCall(std::string_view bytes)
{
    BOOST_LEAF_AUTO(call, node::decodeCall(bytes));
    return node::encode(call);
}

Result<std::string> rewriteAnswer(std::string_view bytes)
{
    BOOST_LEAF_AUTO(answer, node::decodeAnswer(bytes));
    return node::encode(answer);
}

Result<std::string> rewriteMessage(std::string_view bytes)
{
    BOOST_LEAF_AUTO(message, decodeMessage(bytes));
    return encodeMessage(message);
}

template<class Traits>
Result<std::string> rewriteDocument(std::string_view bytes)
{
    BOOST_LEAF_AUTO(document, Traits::decode(std::string(bytes)));
    return Traits::encode(document);
}

Result<std::string> rewriteShard(std::string_view bytes)
{
    BOOST_LEAF_AUTO(shard, decodeShard(std::string(bytes)));
    return encodeShard(shard);
}

Result<std::string> rewriteAddress(std::string_view bytes)
{
    const auto address = Address::parse(std::string(bytes));
    return address ? address->str() : "unreadable";
}

Result<std::string> rewriteNothing(std::string_view bytes)
{
    return std::string(bytes);
}

batch::Submission submissionSample()
{
    batch::Step first;
    first.count_ = 3;
    first.taskDemand_ = {1'500, 2'048, 2};
    first.estimate_ = milliseconds(61'000);
    first.checkpointable_ = true;
    first.gang_ = true;
    first.sameRack_ = true;
    first.constraint_ = "constraint";
    first.affinity_ = "affinity";
    first.antiAffinity_ = 4;
    first.speculative_ = true;
    batch::Step second;
    second.count_ = 5;
    second.taskDemand_ = {6, 7, 8};
    second.estimate_ = milliseconds(9);
    second.dependencies_ = {0};
    second.longRunning_ = true;
    second.image_ = "image";
    second.target_ = milliseconds(250);
    second.cpuBackfill_ = true;
    second.allowedMisses_ = 1;
    batch::Submission job;
    job.id_ = JobId("00000000000000aa");
    job.queue_ = "host/queue/";
    job.workspace_ = WorkspaceId("workspace");
    job.spec_ = std::string("spec\0\xff", 6);
    job.steps_ = {first, second};
    job.repeats_ = 2;
    job.firstRun_ = batch::CalendarTime(milliseconds(1'800'000'000'001));
    job.interval_ = milliseconds(3'600'000);
    job.acceptedAt_ = batch::CalendarTime(milliseconds(1'800'000'000'002));
    job.service_ = ServiceId("service");
    return job;
}

batch::Incarnation incarnationSample()
{
    return {ExecutorId("executor"), 1'800'000'000'003, "host"};
}

batch::RunId runSample(std::uint32_t number)
{
    return {{JobId("00000000000000aa"), 1, 2, 3}, number};
}

batch::Progress progressSample(batch::JobState state)
{
    batch::TaskProgress running;
    running.run_ = 4;
    running.failedRuns_ = {1, 3};
    running.assigned_ = true;
    running.placement_ = incarnationSample();
    running.checkpoint_ = "checkpoint";
    batch::TaskProgress done;
    done.run_ = 5;
    done.done_ = true;
    batch::Progress progress;
    progress.id_ = JobId("00000000000000aa");
    progress.state_ = state;
    progress.started_ = true;
    progress.endedAt_ = batch::CalendarTime(milliseconds(1'800'000'000'004));
    progress.tasks_ = {running, done};
    return progress;
}

batch::Report reportSample()
{
    batch::Report report;
    report.agent_ = "agent";
    report.sequence_ = 11;
    report.sentAt_ = Duration(12);
    report.epoch_ = 13;
    report.responsive_ = true;
    report.listsValid_ = true;
    report.listedAt_ = Duration(14);
    report.executor_ = {incarnationSample(), ServiceId("service"), DataCentreId("zone"), {15, 16, 17}, {"label", "other"}, true, milliseconds(18), true};
    report.running_ = {{runSample(1), "checkpoint", 40, 250}};
    report.starting_ = {runSample(2), runSample(3)};
    for (std::uint8_t kind = 0; kind <= static_cast<std::uint8_t>(batch::EndKind::GangIncomplete); ++kind) {
        report.ended_.push_back({20 + kind, runSample(4U + kind), static_cast<batch::EndKind>(kind), "end"});
    }
    report.settled_ = {{runSample(30), batch::OrderOutcome::Refused}, {runSample(31), batch::OrderOutcome::StopConfirmed}};
    return report;
}

batch::Directive directiveSample()
{
    batch::Directive directive;
    directive.epoch_ = 41;
    directive.echoSequence_ = 42;
    directive.echoSentAt_ = Duration(43);
    directive.permit_ = true;
    directive.incarnation_ = incarnationSample();
    directive.acknowledged_ = 44;
    directive.starts_ = {{runSample(45), "spec", "checkpoint", "ticket"}};
    directive.stops_ = {runSample(46), runSample(47)};
    return directive;
}

batch::Directive redirectSample()
{
    batch::Directive redirect;
    redirect.leaderAddress_ = "127.0.0.1:9400";
    return redirect;
}

platform::Call callSample(platform::CallMethod method)
{
    platform::Call call;
    call.method_ = method;
    call.host_ = "host";
    call.path_ = "/queue/00000000000000aa";
    call.key_ = "key";
    call.body_ = "body";
    call.timeout_ = milliseconds(900);
    return call;
}

/// A submission as an entry stores it, from a caller's body.
Result<std::string> storeJob(std::string_view body)
{
    BOOST_LEAF_AUTO(job, platform::decodeJob(std::string(body)));
    return batch::encode(job);
}

constexpr std::string_view jobBody
    = R"({"spec":"s","repeats":2,"first_run_ms":1800000000000,"interval_ms":5,"steps":[{"count":3,"cpu":1,"mem_mb":2,"gpu":3,"estimate_ms":4,)"
      R"("checkpoints":true,"gang":true,"same_rack":true,"constraints":"c","affinity":"r","anti_affinity":6,"speculative":true},)"
      R"({"after":[0],"long_running":true,"image":"i","target_ms":7,"fills":true,"may_miss":8,"unknown":9}]})";

constexpr std::string_view operatorConfig
    = R"({"version":7,"routes":[{"name":"n","host":"h","prefix":"/p/","service":"s","priority":1,"max_attempts":2,"stretch":1.5,)"
      R"("target_latency_ms":3,"public":true,"advice":{"decide_ms":4,"period_ms":5,"valid_ms":6}}],)"
      R"("services":[{"name":"s","admission_check":true,"standby":true}],)"
      R"("tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpu":8}}],"limits":{"max_body_bytes":9},"unknown":10})";

/// Describes all values that are read from an operators' configuration.
Result<std::string> describeConfig(std::string_view text)
{
    BOOST_LEAF_AUTO(config, platform::decodeConfig(std::string(text)));
    std::ostringstream out;
    out << config.version_ << ' ' << config.maxBodyBytes_;
    for (const batch::Queue &queue : config.queues_) {
        out << " queue " << queue.name_ << ' ' << queue.host_ << ' ' << queue.prefix_ << ' ' << queue.service_.str() << ' ' << queue.priority_ << ' '
            << queue.maxAttempts_ << ' ' << queue.stretch_ << ' ' << queue.targetLatency_.count() << ' ' << queue.public_;
        if (queue.placementPolicy_) {
            out << " policy " << queue.placementPolicy_->decisionTime_.count() << ' ' << queue.placementPolicy_->timePerExecutor_.count() << ' '
                << queue.placementPolicy_->validFor_.count();
        }
    }
    for (const batch::Service &service : config.services_) {
        out << " service " << service.name_.str() << ' ' << service.admissionCheck_ << ' ' << service.standby_;
    }
    for (const batch::Workspace &workspace : config.workspaces_) {
        out << " workspace " << workspace.name_.str() << ' ' << workspace.guaranteedAccelerators_;
        for (const std::string &key : workspace.keys_) {
            out << ' ' << key;
        }
    }
    return out.str();
}

/// Returns the value of \p result; empty if it is an error.
std::string valueOrEmpty(Result<std::string> (*read)(std::string_view), std::string_view bytes)
{
    return leaf::try_handle_all([&]() -> Result<std::string> { return read(bytes); }, [] { return std::string(); });
}

void addRecords(std::vector<FormatSample> &samples)
{
    using namespace node;
    samples.push_back({keys::jobs, "job", batch::encode(submissionSample()), rewritePayload<batch::Submission, batch::decodeSubmission>});
    samples.push_back({keys::jobs, "job-default", batch::encode(batch::Submission{}), rewritePayload<batch::Submission, batch::decodeSubmission>});
    samples.push_back({keys::cancels, "cancellation", "", rewriteNothing});
    for (std::uint8_t state = 0; state <= static_cast<std::uint8_t>(batch::JobState::Cancelled); ++state) {
        samples.push_back({keys::progress,
                           "progress-" + std::to_string(state),
                           batch::encode(progressSample(static_cast<batch::JobState>(state))),
                           rewritePayload<batch::Progress, batch::decodeProgress>});
    }
#if __has_include("core/batch/folded_record.h")
    samples.push_back({keys::jobs, "long-job", batch::encodeLong(submissionSample()), rewriteLongJob});
    samples.push_back({keys::progress, "folded-progress", batch::encode(batch::fold(progressSample(batch::JobState::Running))), rewriteFoldedProgress});
#endif
#if __has_include("core/batch/crash_history.h")
    const batch::CrashHistory history{JobId("00000000000000aa"), {{1, 2, 3, milliseconds(4), milliseconds(5), incarnationSample(), true, true, true}, {}}};
    samples.push_back({keys::crashes, "crash-history", batch::encode(history), rewritePayload<batch::CrashHistory, batch::decodeCrashHistory>});
#endif
#if __has_include("core/batch/start_record.h")
    const batch::StartRecord starts{JobId("00000000000000aa"), batch::FleetTime(milliseconds(6)), {{1, 2, batch::FleetTime(milliseconds(3)), true}, {}}};
    samples.push_back({keys::starts, "start-record", batch::encode(starts), rewritePayload<batch::StartRecord, batch::decodeStartRecord>});
#endif
#if __has_include("core/batch/queue_settings.h")
    const batch::PlacementPolicy policy{milliseconds(2), milliseconds(3), milliseconds(4)};
    const batch::AcceptedSettings settings{JobId("00000000000000aa"), {ServiceId("service"), 5, 6, 1.5, milliseconds(7), policy}};
    samples.push_back({keys::settings, "accepted-settings", batch::encode(settings), rewritePayload<batch::AcceptedSettings, batch::decodeAcceptedSettings>});
#endif
#if __has_include("core/batch/fleet_profile.h")
    const batch::FleetProfile profile{{{"host", -12, 34, batch::CalendarTime(milliseconds(1'800'000'000'005))}, {}}, {{"host/queue/", 6, -1.5, 0.25, 2, -0.5}}};
    samples.push_back({keys::profile, "fleet-profile", batch::encode(profile), rewritePayload<batch::FleetProfile, batch::decodeFleetProfile>});
#endif
    samples.push_back({keys::leader, "leader", Address::parse("10.1.2.3:9400")->str(), rewriteAddress});
    samples.push_back({keys::entries, "entry", Address::parse("10.1.2.4:9400")->str(), rewriteAddress});
}

void addMessages(std::vector<FormatSample> &samples)
{
    samples.push_back({"report", "report", batch::encode(reportSample()), rewritePayload<batch::Report, batch::decodeReport>});
    samples.push_back({"report", "report-default", batch::encode(batch::Report{}), rewritePayload<batch::Report, batch::decodeReport>});
    samples.push_back({"directive", "directive", batch::encode(directiveSample()), rewritePayload<batch::Directive, batch::decodeDirective>});
    samples.push_back({"directive", "redirect", batch::encode(redirectSample()), rewritePayload<batch::Directive, batch::decodeDirective>});
    for (std::uint8_t method = 0; method <= static_cast<std::uint8_t>(platform::CallMethod::Cancel); ++method) {
        samples.push_back(
            {"forwarded-call", "forwarded-call-" + std::to_string(method), node::encode(callSample(static_cast<platform::CallMethod>(method))), rewriteCall});
    }
    samples.push_back({"forwarded-answer", "forwarded-answer", node::encode(platform::Answer{503, "body", std::chrono::seconds(2)}), rewriteAnswer});
}

/// What operators and callers write; each release has to read the same values from it.
void addDocuments(std::vector<FormatSample> &samples)
{
    samples.push_back({"op/config", "operator-config", valueOrEmpty(describeConfig, operatorConfig), rewriteNothing});
    samples.push_back({"job-body", "job-body", valueOrEmpty(storeJob, jobBody), rewritePayload<batch::Submission, batch::decodeSubmission>});
}

/// Messages and documents of the first path.
void addFirstPath(std::vector<FormatSample> &samples)
{
    const Instant instant(Duration(51));
    AgentReport report;
    report.kind_ = AgentKind::Executor;
    report.name_ = "agent";
    report.incarnation_ = 52;
    report.sequence_ = 53;
    report.sentAt_ = instant;
    report.region_ = RegionId("region");
    report.dataCentre_ = DataCentreId("zone");
    report.rack_ = RackId("rack");
    report.leaving_ = true;
    report.revision_ = 54;
    report.epoch_ = 55;
    report.capacity_ = {56, 57, 58};
    report.members_ = {{JobId("a"), 59, 60, MemberPhase::Waiting}, {JobId("b"), 61, 62, MemberPhase::Failed}};
    report.digest_ = membersDigest(report.members_);
    report.service_ = ServiceId("service");
    report.slots_ = 63;
    report.connections_ = 64;
    report.port_ = 65;
    samples.push_back({"AgentReport", "AgentReport", encodeMessage(report), rewriteMessage});
    Directive directive;
    directive.entry_ = EntryId("entry");
    directive.incarnation_ = 71;
    directive.sequence_ = 72;
    directive.agent_ = "agent";
    directive.agentIncarnation_ = 73;
    directive.echoSequence_ = 74;
    directive.echoSentAt_ = instant;
    directive.sentAt_ = instant + Duration(1);
    directive.permit_ = {75, true, instant + Duration(2)};
    directive.epoch_ = 76;
    directive.membersRequested_ = true;
    directive.digestConfirmed_ = true;
    directive.digest_ = 77;
    directive.orders_ = {{JobId("a"), 78, 79, {80, 81, 82}, MemberAction::Run, "payload"}};
    directive.lease_ = Duration(83);
    directive.period_ = Duration(84);
    samples.push_back({"Directive", "Directive", encodeMessage(directive), rewriteMessage});
    const AttemptRequest request{{91, 92, 93}, EntryId("entry"), 94, 95, instant, Duration(96), false, "path", "body"};
    samples.push_back({"AttemptRequest", "AttemptRequest", encodeMessage(request), rewriteMessage});
    const AttemptReply reply{{91, 92, 93}, AttemptOutcome::NotRun, 503, "body", true};
    samples.push_back({"AttemptReply", "AttemptReply", encodeMessage(reply), rewriteMessage});

    JobRecord record;
    record.spec_ = {JobId("job"), WorkspaceId("workspace"), 2, {3, 4, 5}, Adjacency::Rack, true, false, std::chrono::seconds(6), "payload"};
    record.state_ = JobState::Running;
    record.generation_ = 7;
    record.members_ = {{WorkerId("w1"), 1}, {WorkerId("w2"), 1}};
    record.dataCentre_ = DataCentreId("zone");
    record.tenure_ = Tenure::Guaranteed;
    record.guarantee_ = GuaranteeId("guarantee");
    record.failures_ = 8;
    record.cancelRequested_ = true;
    record.reason_ = JobReason::Preempted;
    record.submitted_ = WallTime(std::chrono::seconds(9));
    record.finished_ = WallTime(std::chrono::seconds(10));
    samples.push_back({"jobs/", "shard", encodeShard({11, 12, {{JobId("job"), record}}}), rewriteShard});
    ControlDocument control;
    control.revision_ = 13;
    control.settings_.set("a.b", {"value", {"file.yaml", 2, 3}, {}});
    control.settingsRevision_ = 12;
    control.outOfService_ = {DataCentreId("zone")};
    control.recentOperations_ = {OperationId("o1"), OperationId("o2")};
    samples.push_back({"control", "control", ControlTraits::encode(control), rewriteDocument<ControlTraits>});
    ClaimDocument claims;
    claims.claims_["0123456789abcdef"] = {"holder", 14};
    samples.push_back({"claims/", "claims", ClaimTraits::encode(claims), rewriteDocument<ClaimTraits>});
}

}

std::vector<FormatSample> formatSamples()
{
    std::vector<FormatSample> samples;
    addRecords(samples);
    addMessages(samples);
    addDocuments(samples);
    addFirstPath(samples);
    return samples;
}

}
