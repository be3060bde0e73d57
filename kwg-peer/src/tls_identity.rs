use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, SupportedProtocolVersion};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};

use crate::link_error::{BadFileSnafu, TlsSnafu};
use crate::{IssuedIdentity, LinkError};

/// ALPN protocol name, so that only compatible instances connect to each other.
const PROTOCOL: &[u8] = b"knapweedglade/1";
/// How long a link may be silent before it is closed. A link may go silent for good while new ones work, together
/// with the connections to the store. A change that a store reader forwards meanwhile is lost, and pulled 0.8 s
/// after the next digest, which makes 3.2 s after the silence.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval of keep-alive packets on an idle link: two within [`IDLE_TIMEOUT`].
const KEEP_ALIVE: Duration = Duration::from_millis(800);
/// TLS versions; QUIC allows only 1.3.
const VERSIONS: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13];

/// Paths of an instance's certificates and key, all in PEM.
#[derive(Debug, Clone, Copy)]
pub struct IdentityFiles<'a> {
    /// The authority's certificate.
    pub authority: &'a Path,
    /// The instance's certificate.
    pub certificate: &'a Path,
    /// The instance's private key.
    pub key: &'a Path,
}

/// TLS configuration of an instance for both ends of a link.
///
/// Both ends present a certificate that the fleet's authority must have signed.
#[derive(Debug, Clone)]
pub struct TlsIdentity {
    pub(crate) server: ServerConfig,
    pub(crate) client: ClientConfig,
}

impl TlsIdentity {
    /// Reads the identity from files.
    ///
    /// # Errors
    /// [`LinkError::BadFile`] if a file cannot be read or parsed, [`LinkError::Tls`] if the keys do
    /// not match.
    pub fn load(files: IdentityFiles<'_>) -> Result<Self, LinkError> {
        let authority = read_certificate(files.authority)?;
        let certificate = read_certificate(files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(files.key);
        let key = key.map_err(|error| bad_file(files.key, &error))?;
        Self::new(authority, certificate, key)
    }

    /// Creates the identity from keys in memory; `authority` is the authority's certificate in PEM.
    ///
    /// # Errors
    /// [`LinkError::Tls`] if they cannot be parsed or do not match.
    pub fn from_issued(authority: &str, issued: &IssuedIdentity) -> Result<Self, LinkError> {
        let tls = |error: &dyn std::fmt::Display| TlsSnafu { reason: error.to_string() }.build();
        let certificate = |pem: &str| CertificateDer::from_pem_slice(pem.as_bytes());
        let key = PrivateKeyDer::from_pem_slice(issued.key.as_bytes());
        Self::new(
            certificate(authority).map_err(|error| tls(&error))?,
            certificate(&issued.certificate).map_err(|error| tls(&error))?,
            key.map_err(|error| tls(&error))?,
        )
    }

    fn new(
        authority: CertificateDer<'static>,
        certificate: CertificateDer<'static>,
        key: PrivateKeyDer<'static>,
    ) -> Result<Self, LinkError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = |error: &dyn std::fmt::Display| TlsSnafu { reason: error.to_string() }.build();
        let mut roots = RootCertStore::empty();
        roots.add(authority).map_err(|error| tls(&error))?;
        let roots = Arc::new(roots);
        let chain = vec![certificate];
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(|error| tls(&error))?;
        let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(VERSIONS)
            .map_err(|error| tls(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(|error| tls(&error))?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(VERSIONS)
            .map_err(|error| tls(&error))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(|error| tls(&error))?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        let server = QuicServerConfig::try_from(server).map_err(|error| tls(&error))?;
        let client = QuicClientConfig::try_from(client).map_err(|error| tls(&error))?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        let mut client = ClientConfig::new(Arc::new(client));
        let transport = Arc::new(transport());
        server.transport_config(Arc::clone(&transport));
        client.transport_config(transport);
        Ok(Self { server, client })
    }

    /// Returns the configuration with which this instance opens links.
    #[must_use]
    pub fn client_config(&self) -> ClientConfig {
        self.client.clone()
    }

    /// Returns whether a certificate, whose signature has been verified, was issued to `instance`.
    pub(crate) fn is_certificate_of(certificate: &CertificateDer<'_>, instance: &str) -> bool {
        let Ok(certificate) = webpki::EndEntityCert::try_from(certificate) else { return false };
        let Ok(name) = ServerName::try_from(instance) else { return false };
        certificate.verify_is_valid_for_subject_name(&name).is_ok()
    }
}

fn transport() -> TransportConfig {
    let idle = IDLE_TIMEOUT.try_into().ok();
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(idle).keep_alive_interval(Some(KEEP_ALIVE));
    transport
}

fn read_certificate(path: &Path) -> Result<CertificateDer<'static>, LinkError> {
    CertificateDer::from_pem_file(path).map_err(|error| bad_file(path, &error))
}

fn bad_file(path: &Path, error: &dyn std::fmt::Display) -> LinkError {
    BadFileSnafu { path: PathBuf::from(path), reason: error.to_string() }.build()
}
