#include <acaciarail/caller/problem.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace Acaciarail::Caller {

auto httpStatus(Error error) noexcept -> std::uint16_t
{
    switch (error) {
    case Error::MalformedInput:
    case Error::UnknownVersion:
        return 400;
    case Error::Unauthenticated:
        return 401;
    case Error::Forbidden:
        return 403;
    case Error::UnknownOrganisation:
    case Error::UnknownService:
    case Error::UnknownJob:
        return 404;
    case Error::DuplicateName:
    case Error::InProgress:
    case Error::ConfigConflict:
    case Error::StaleTerm:
    case Error::Cancelled:
        return 409;
    case Error::TooLarge:
        return 413;
    case Error::InvalidShape:
    case Error::NeverFits:
    case Error::KeyReused:
    case Error::ConfigInvalid:
    case Error::GuaranteesDoNotFit:
        return 422;
    case Error::QuotaExceeded:
        return 429;
    case Error::EndpointFailed:
    case Error::ConnectionLost:
        return 502;
    case Error::DeadlineUnreachable:
    case Error::Overloaded:
    case Error::LogUnavailable:
    case Error::NoEndpoint:
    case Error::NotHolder:
    case Error::LeaseExpired:
    case Error::CapacityTaken:
    case Error::Draining:
        return 503;
    case Error::DeadlinePassed:
    case Error::OutcomeUnknown:
    case Error::Timeout:
        return 504;
    case Error::Ok:
        break;
    }
    return 500;
}

auto renderProblem(const Failure &failure, std::optional<Duration> retryAfter) -> HttpResponse
{
    return renderProblemAs(httpStatus(failure.error), failure, retryAfter);
}

auto renderProblemAs(std::uint16_t status, const Failure &failure, std::optional<Duration> retryAfter) -> HttpResponse
{
    std::string title = errorName(failure.error);
    std::replace(title.begin(), title.end(), '-', ' ');

    nlohmann::ordered_json body;
    body["status"] = status;
    body["title"] = title;
    body["code"] = errorName(failure.error);
    body["execution"] = executionName(failure.execution);
    body["detail"] = failure.detail;
    if (retryAfter) {
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(std::max(*retryAfter, Duration::zero())).count();
    }
    auto out = makeResponse(status, problemContentType, body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
    out.headers.push_back({"Acaciarail-Execution", executionName(failure.execution)});
    if (retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(std::max(*retryAfter, Duration::zero()));
        out.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    if (status == 401) {
        out.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return out;
}

} // namespace Acaciarail::Caller
