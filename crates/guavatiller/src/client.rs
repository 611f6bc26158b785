//! The operators' client.
//!
//! A change whose outcome is unknown is repeated with the same identity, at the next address
//! given: the log takes it once, whoever carries it there.

use crate::args::{CommandArgs, TopArgs};
use crate::{changes, output, reports};
use guava_schema::operators::change_reply::Verdict;
use guava_schema::operators::operators_client::OperatorsClient;
use guava_schema::operators::{
    ChangeReply, ChangeRequest, ExplainRequest, GetRequest, HistoryRequest, ListRequest, Object,
    ObjectReply, StatusRequest,
};
use guava_types::RecordId;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};

const CONNECT_MS: u64 = 2_000;
const CALL_MS: u64 = 90_000;
const REPEATS: usize = 3;
const PAUSE_MS: u64 = 300;
const EXIT_FAILED: u8 = 1;
const EXIT_RACED: u8 = 2;
const EXIT_UNKNOWN: u8 = 3;

type OperatorChannel = InterceptedService<Channel, TokenInterceptor>;

#[derive(Clone)]
struct TokenInterceptor {
    token: MetadataValue<Ascii>,
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert("authorization", self.token.clone());
        Ok(request)
    }
}

struct OperatorSession<'a> {
    top: &'a TopArgs,
    token: MetadataValue<Ascii>,
    next: usize,
}

fn read_token(top: &TopArgs) -> Result<MetadataValue<Ascii>, String> {
    let path = top.token_file.as_ref().ok_or("token-file: missing")?;
    let token = std::fs::read_to_string(path)
        .map_err(|error| format!("token-file: {}: {error}", path.display()))?;
    let value = format!("Bearer {}", token.trim());
    value.parse().map_err(|_| "token-file: not plain text".into())
}

impl<'a> OperatorSession<'a> {
    fn open(top: &'a TopArgs) -> Result<Self, String> {
        if top.at.is_empty() {
            return Err("at: give a daemon's address for operators".into());
        }
        Ok(Self { top, token: read_token(top)?, next: 0 })
    }

    fn endpoint(&self, address: SocketAddr) -> Result<Endpoint, String> {
        let scheme = if self.top.authorities.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
            .map_err(|error| error.to_string())?
            .connect_timeout(Duration::from_millis(CONNECT_MS))
            .timeout(Duration::from_millis(CALL_MS));
        let Some(path) = &self.top.authorities else { return Ok(endpoint) };
        let pem = std::fs::read(path)
            .map_err(|error| format!("authorities: {}: {error}", path.display()))?;
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(pem))
            .domain_name(&self.top.server_name);
        endpoint.tls_config(tls).map_err(|error| error.to_string())
    }

    /// Connects to the addresses in turn.
    async fn connect(&mut self) -> Result<OperatorsClient<OperatorChannel>, String> {
        let mut last = String::new();
        for _ in 0..self.top.at.len() {
            let address = self.top.at.get(self.next % self.top.at.len()).copied();
            let Some(address) = address else { break };
            self.next += 1;
            match self.endpoint(address)?.connect().await {
                Ok(channel) => {
                    let interceptor = TokenInterceptor { token: self.token.clone() };
                    return Ok(OperatorsClient::with_interceptor(channel, interceptor));
                }
                Err(error) => last = format!("{address}: {error}"),
            }
        }
        Err(last)
    }

    async fn current(&mut self, object: &str) -> Result<ObjectReply, String> {
        let mut client = self.connect().await?;
        let request = GetRequest { object: object.into() };
        let reply = client.get(request).await.map_err(|status| status.message().to_owned())?;
        Ok(reply.into_inner())
    }

    async fn change(
        &mut self,
        object: &str,
        against: u64,
        value: Option<Object>,
    ) -> Result<ExitCode, String> {
        let id = match &self.top.change_id {
            Some(id) => id.clone(),
            None => RecordId::random().to_string(),
        };
        let request = ChangeRequest {
            change_id: id.clone(),
            operator: self.top.operator.clone(),
            object: object.into(),
            against: self.top.against.unwrap_or(against),
            value,
            wait_ms: self.top.wait_ms,
        };
        let reply = self.change_until_known(&request).await?;
        // The exit code tells the change's outcome, whether or not the table was read.
        let _read = output::print(self.top.output, &reports::change(object, &id, &reply));
        Ok(match reply.verdict() {
            Verdict::Accepted => ExitCode::SUCCESS,
            Verdict::Raced => ExitCode::from(EXIT_RACED),
            Verdict::Unknown => ExitCode::from(EXIT_UNKNOWN),
            _ => ExitCode::from(EXIT_FAILED),
        })
    }

    async fn change_until_known(&mut self, request: &ChangeRequest) -> Result<ChangeReply, String> {
        let mut reply = ChangeReply::default();
        for _ in 0..REPEATS {
            let answer = match self.connect().await {
                Ok(mut client) => client.change(request.clone()).await,
                Err(error) => Err(Status::unavailable(error)),
            };
            match answer {
                Ok(answer) if answer.get_ref().verdict() != Verdict::Unknown => {
                    return Ok(answer.into_inner());
                }
                Ok(answer) => reply = answer.into_inner(),
                Err(status) if status.code() == tonic::Code::InvalidArgument => {
                    return Err(status.message().to_owned());
                }
                Err(status) if status.code() == tonic::Code::Unauthenticated => {
                    return Err(status.message().to_owned());
                }
                Err(status) => {
                    reply.set_verdict(Verdict::Unknown);
                    reply.reason = status.message().to_owned();
                }
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        Ok(reply)
    }

    async fn change_object(
        &mut self,
        object: String,
        make: impl FnOnce(
            Option<guava_schema::operators::object::Value>,
        ) -> Result<Option<Object>, String>,
    ) -> Result<ExitCode, String> {
        let current = self.current(&object).await?;
        let value = make(current.value.and_then(|object| object.value))?;
        self.change(&object, current.revision, value).await
    }

    async fn show(&mut self) -> Result<ExitCode, String> {
        let failed = |status: Status| status.message().to_owned();
        let mut client = self.connect().await?;
        let tables = match &self.top.command {
            CommandArgs::Get(args) => {
                let request = GetRequest { object: args.object.clone() };
                let reply = client.get(request).await.map_err(failed)?;
                reports::objects(&[reply.into_inner()])
            }
            CommandArgs::List(args) => {
                let request = ListRequest { kind: args.kind.clone() };
                reports::list(client.list(request).await.map_err(failed)?.get_ref())
            }
            CommandArgs::History(args) => {
                let request = HistoryRequest { limit: args.limit };
                reports::history(client.history(request).await.map_err(failed)?.get_ref())
            }
            CommandArgs::Explain(args) => {
                let request = ExplainRequest { request: args.request.clone() };
                reports::explain(client.explain(request).await.map_err(failed)?.get_ref())
            }
            _ => reports::status(client.status(StatusRequest {}).await.map_err(failed)?.get_ref()),
        };
        Ok(output::print(self.top.output, &tables))
    }

    async fn run(&mut self) -> Result<ExitCode, String> {
        match &self.top.command {
            CommandArgs::Customer(args) => {
                let object = format!("customer/{}", args.name);
                self.change_object(object, |current| changes::customer(args, current)).await
            }
            CommandArgs::Service(args) => {
                let object = format!("service/{}", args.name);
                self.change_object(object, |_| changes::service(args)).await
            }
            CommandArgs::Model(args) => {
                let object = format!("model/{}", args.name);
                self.change_object(object, |current| changes::model(args, current)).await
            }
            CommandArgs::Upstream(args) => {
                let object = format!("upstream/{}", args.name);
                self.change_object(object, |current| changes::upstream(args, current)).await
            }
            CommandArgs::DataCentre(args) => {
                let object = format!("data-centre/{}", args.name);
                self.change_object(object, |_| Ok(changes::data_centre(args))).await
            }
            CommandArgs::Weights(args) => {
                let object = "profile/measures".to_owned();
                self.change_object(object, |_| Ok(changes::weights(args))).await
            }
            CommandArgs::Delete(args) => {
                self.change_object(args.object.clone(), |_| Ok(None)).await
            }
            _ => self.show().await,
        }
    }
}

async fn run_session(top: &TopArgs) -> Result<ExitCode, String> {
    OperatorSession::open(top)?.run().await
}

/// Runs one command of the client.
pub fn run(top: &TopArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_session(top)),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(code) => code,
        Err(message) => {
            output::complain(&message);
            ExitCode::from(EXIT_FAILED)
        }
    }
}
